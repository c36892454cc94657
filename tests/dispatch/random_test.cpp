#include <boost/test/unit_test.hpp>

#include "dispatch/invariants.h"
#include "dispatch/workload.h"

using namespace poplarshed;
using namespace poplarshed::dispatch;

namespace {

constexpr std::uint64_t first_seed = 1;
constexpr std::uint64_t schedules = 8;

/// Faulty wrapper: reports lost connections as not_run, so that the inner dispatcher retries non-idempotent
/// tasks that may have run.
class misreporting_dispatcher : public dispatcher {
public:
    explicit misreporting_dispatcher(std::unique_ptr<dispatcher> inner) : m_inner(std::move(inner)) {}
    void apply(const configuration::bundle& bundle, time_point now) override { m_inner->apply(bundle, now); }
    std::vector<action> set_runners(const std::vector<runner>& runners, time_point now) override
    {
        return m_inner->set_runners(runners, now);
    }
    std::optional<refusal> check(const job_request& job, time_point now) const override
    {
        return m_inner->check(job, now);
    }
    std::vector<action> submit(job_request job, time_point now) override
    {
        return m_inner->submit(std::move(job), now);
    }
    std::vector<action> on_result(attempt_result result, time_point now) override
    {
        result.ran = result.status == attempt_status::connection_lost ? verdict::not_run : result.ran;
        return m_inner->on_result(std::move(result), now);
    }
    std::vector<action> cancel(job_key key, refusal_reason reason, time_point now) override
    {
        return m_inner->cancel(key, reason, now);
    }
    std::vector<action> set_peers(std::size_t index, std::size_t count, time_point now) override
    {
        return m_inner->set_peers(index, count, now);
    }
    std::vector<action> on_timer(time_point now) override { return m_inner->on_timer(now); }
    std::size_t jobs_in_flight() const override { return m_inner->jobs_in_flight(); }

private:
    std::unique_ptr<dispatcher> m_inner;
};

/// Bundle of the random schedules. The baselines do not enforce quotas, so their quota is never reached.
configuration::bundle random_bundle(policy_kind kind)
{
    configuration::bundle made = workload_bundle();
    configuration::service non_idempotent;
    non_idempotent.promises_not_run = true;
    non_idempotent.timeout = seconds(3);
    made.services[service_id("urgent")] = non_idempotent;
    made.services[service_id("plain")].timeout = seconds(3);
    for (auto& [id, workspace] : made.workspaces) {
        workspace.max_tasks_in_flight = kind == policy_kind::expected_finish ? 150 : 100'000;
    }
    return made;
}

/// One random schedule of jobs, cancellations and faults for three dispatchers, checked by invariants.
class schedule {
public:
    schedule(policy_kind kind, sharing_kind sharing, std::uint64_t seed, bool misreporting)
        : m_load({.instances = 3, .runners = 8, .slots = 4, .seed = seed}),
          m_centre(make_dispatchers(kind, sharing, seed, misreporting), m_load.runners(), random_bundle(kind),
                   seed),
          m_invariants(m_centre, random_bundle(kind))
    {}

    std::vector<std::string> run()
    {
        const time_point end = m_centre.now() + seconds(15);
        while (m_centre.now() < end) {
            step();
            m_centre.run_until(m_centre.now() + m_load.gap(20.0));
        }
        m_centre.run_until(end + seconds(20));
        m_invariants.check_end();
        return m_invariants.violations();
    }

private:
    static std::vector<std::unique_ptr<dispatcher>> make_dispatchers(policy_kind kind, sharing_kind sharing,
                                                                     std::uint64_t seed, bool misreporting)
    {
        std::vector<std::unique_ptr<dispatcher>> dispatchers;
        for (std::uint32_t i = 0; i < 3; ++i) {
            auto made_dispatcher = make_dispatcher(kind, seed * 10 + i, {.sharing = sharing});
            dispatchers.push_back(misreporting
                                      ? std::make_unique<misreporting_dispatcher>(std::move(made_dispatcher))
                                      : std::move(made_dispatcher));
        }
        return dispatchers;
    }

    void step()
    {
        random_source& random = m_load.random();
        const std::uint64_t draw = random.below(100);
        fake_runner& runner = m_centre.runners()[random.below(8)];
        const bool unavailable = runner.mode == runner_mode::down || runner.mode == runner_mode::leaving;
        if (draw < 4 && !unavailable) {
            runner.mode = static_cast<runner_mode>(random.below(6));
        } else if (draw < 6) {
            runner.listed.leaving = runner.listed.leaving || random.below(3) == 0;
            m_centre.publish_runners();
            m_invariants.on_list_published();
        } else if (draw < 12 && !m_centre.jobs().empty()) {
            m_centre.cancel(job_key(1 + random.below(m_centre.jobs().size())));
        } else {
            const service_id service(random.below(2) == 0 ? "plain" : "urgent");
            const workspace_id workspace("t" + std::to_string(random.below(4)));
            m_centre.submit(static_cast<std::uint32_t>(random.below(3)),
                            m_load.job(workspace, service, m_centre.now(), m_load.gap(0.3)));
        }
    }

    workload m_load;
    fake_data_centre m_centre;
    invariants m_invariants;
};

std::size_t violations(policy_kind kind, sharing_kind sharing, bool misreporting)
{
    std::size_t found = 0;
    for (std::uint64_t seed = first_seed; seed < first_seed + schedules; ++seed) {
        for (const std::string& violation : schedule(kind, sharing, seed, misreporting).run()) {
            ++found;
            if (!misreporting) {
                BOOST_TEST_MESSAGE("seed " << seed << ": " << violation);
            }
        }
    }
    return found;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(random_schedules)

// Guards against incomplete, duplicate or incorrect answers, repeated starts of non-idempotent tasks, tasks
// on leaving runners and exceeded quotas. Runners fail, jobs are cancelled and the list of runners changes at
// random.
BOOST_AUTO_TEST_CASE(invariants_hold_for_every_policy)
{
    BOOST_TEST_MESSAGE("seeds from " << first_seed);
    for (const sharing_kind sharing :
         {sharing_kind::lending, sharing_kind::static_shares, sharing_kind::two_choices}) {
        BOOST_TEST(violations(policy_kind::expected_finish, sharing, false) == 0);
    }
    BOOST_TEST(violations(policy_kind::round_robin_static, sharing_kind::lending, false) == 0);
}

// Guards against invariant checks that detect nothing: they must detect lost connections reported as not_run.
BOOST_AUTO_TEST_CASE(invariants_detect_a_misreporting_dispatcher)
{
    BOOST_TEST(violations(policy_kind::expected_finish, sharing_kind::lending, true) > 0);
}

BOOST_AUTO_TEST_SUITE_END()
