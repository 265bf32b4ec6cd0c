// Fixture for tests of the call path over loopback connections in one thread: a caller, the real server for
// callers, call engine and upstream pool, and an upstream whose part the test plays.
#pragma once

#include "adapters/http/caller_server.h"
#include "adapters/loopback_caller.h"
#include "adapters/loopback_upstream.h"
#include "core/fakes.h"

namespace anvilpost::testing {

struct call_path_fixture {
    explicit call_path_fixture(const header_names& names = {}, const upstream_pool_limits& limits = {})
        : names_(names), limits_(limits)
    {
        pool_.connect(engine_, server_, server_);
        server_.connect(engine_, pool_);
        configuration config;
        config.revision_ = 1;
        auto& service = config.services_["desk"];
        service.hosts_ = {"desk.example"};
        service.upstreams_["u1"] = {"127.0.0.1", upstream_.port(), "", "", upstream_state::active};
        server_.apply(config);
        engine_.apply(config);
        run_engine_timers();
    }

    void run_engine_timers()
    {
        engine_.on_wakeup();
        engine_timer_.start(5ms);
    }

    header_names names_;
    upstream_pool_limits limits_;
    test_upstream upstream_;
    event_loop loop_;
    steady_clock clock_;
    split_mix random_;
    recording_claims claims_;
    recording_observer observer_;
    upstream_pool pool_{loop_, clock_, limits_, names_};
    organisation_directory organisations_;
    caller_server server_{loop_, clock_, random_, "127.0.0.1", 0, {}, names_, "entry-1", organisations_};
    call_engine engine_{{clock_, random_, pool_, server_, claims_, observer_}};
    timer engine_timer_{loop_, [this] { run_engine_timers(); }};
};

} // namespace anvilpost::testing
