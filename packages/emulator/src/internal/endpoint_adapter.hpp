#pragma once

#include "endpoint_frame.hpp"

#include <memory>

namespace rattanbay::emulator::internal {

/// Implements the common part of the public endpoint class `Interface` with a server of type
/// `Server`.
template <class Interface, class Server> class endpoint_adapter : public Interface {
public:
    explicit endpoint_adapter(std::shared_ptr<Server> server)
        : server_(std::move(server)) {}

    endpoint_adapter(const endpoint_adapter&) = delete;
    endpoint_adapter& operator=(const endpoint_adapter&) = delete;

    ~endpoint_adapter() override { server_->stop(); }

    void stop() override { server_->stop(); }

    void kill() override { server_->kill(); }

    void set_fault(endpoint_fault fault) override { server_->set_fault(fault); }

    void set_leaving(bool leaving) override { server_->set_leaving(leaving); }

    const base::address& address() const override { return server_->address(); }

protected:
    const Server& server() const { return *server_; }

private:
    std::shared_ptr<Server> server_;
};

} // namespace rattanbay::emulator::internal
