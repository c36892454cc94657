#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "dispatch/fake_data_centre.h"

namespace poplarshed::dispatch {

/// Observes a fake data centre and records violations of the guarantees of a dispatcher.
class invariants {
public:
    invariants(fake_data_centre& centre, const configuration::bundle& bundle);

    /// To be called after the current list of runners was published to every dispatcher.
    void on_list_published();
    /// Checks the conditions that hold once all jobs are answered.
    void check_end();
    const std::vector<std::string>& violations() const { return m_violations; }

private:
    void on_start(const start_attempt& started);
    void on_action(std::uint32_t instance, const action& performed);
    void on_answer(std::uint32_t instance, const answer_job& answer);

    fake_data_centre* m_centre;
    configuration::bundle m_bundle;
    std::map<std::pair<submission_id, std::uint32_t>, int> m_starts;
    std::set<std::pair<std::uint32_t, endpoint>> m_unavailable;
    std::map<std::pair<std::uint32_t, workspace_id>, std::size_t> m_tasks;
    std::set<submission_id> m_admitted;
    std::vector<std::string> m_violations;
};

}  // namespace poplarshed::dispatch
