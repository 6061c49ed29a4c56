#include "internal/load_run.hpp"

#include <rattanbay/emulator/load_generator.hpp>

namespace rattanbay::emulator {

namespace {

class http_load_generator final : public load_generator {
public:
    explicit http_load_generator(std::shared_ptr<internal::load_run> run)
        : run_(std::move(run)) {}

    http_load_generator(const http_load_generator&) = delete;
    http_load_generator& operator=(const http_load_generator&) = delete;

    ~http_load_generator() override { run_->stop(); }

    void stop() override { run_->stop(); }

private:
    std::shared_ptr<internal::load_run> run_;
};

} // namespace

base::result<std::unique_ptr<load_generator>>
load_generator::start(asio::io_context& context, load_options options, completion_handler on_finished) {
    const base::result<void> valid = options.validate();
    if (!valid) {
        return tl::unexpected<base::error>(valid.error());
    }
    const std::shared_ptr<internal::load_run> run =
        std::make_shared<internal::load_run>(context, std::move(options), std::move(on_finished));
    run->start();
    return std::make_unique<http_load_generator>(run);
}

} // namespace rattanbay::emulator
