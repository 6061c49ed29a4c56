#pragma once

#include <rattanbay/config/promotion.hpp>
#include <rattanbay/ctl/command_io.hpp>
#include <rattanbay/ctl/platform_client.hpp>

namespace rattanbay::ctl {

/// Runs a publication to its end, with its waits.
template <class Publication>
config::publication_result run_publication(Publication publication, platform_client& target, command_io& io) {
    config::publication_step step = publication.start(io.now());
    while (const config::delayed_call* next = std::get_if<config::delayed_call>(&step)) {
        io.wait(next->delay);
        const object_api::answer answer = target.perform(next->call);
        step = publication.handle(answer, io.now());
    }
    return std::get<config::publication_result>(step);
}

} // namespace rattanbay::ctl
