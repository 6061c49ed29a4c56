#pragma once

#include <rattanbay/config/promotion.hpp>
#include <rattanbay/ctl/command_io.hpp>
#include <rattanbay/ctl/platform_client.hpp>

namespace rattanbay::ctl {

/// Runs a publication to completion: performs each call after its delay and returns the result.
template <class Publication>
config::publication_result run_publication(Publication publication, platform_client& platform,
                                           command_io& io) {
    config::publication_step step = publication.start(io.now());
    while (const config::delayed_call* next = std::get_if<config::delayed_call>(&step)) {
        io.sleep_for(next->delay);
        const object_api::answer answer = platform.perform(next->call);
        step = publication.handle(answer, io.now());
    }
    return std::get<config::publication_result>(step);
}

} // namespace rattanbay::ctl
