#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "dispatch/fake_data_centre.h"

namespace poplarshed::dispatch {

/// Watches a fake data centre and records every breach of the promises of a dispatcher.
class invariants {
public:
    invariants(fake_data_centre& centre, const configuration::bundle& bundle);

    /// Notes that every dispatcher was told the present list.
    void note_list();
    /// Checks what holds once all jobs are answered.
    void check_end();
    const std::vector<std::string>& breaches() const { return m_breaches; }

private:
    void on_start(const start_attempt& item);
    void on_action(std::uint32_t core, const action& item);
    void on_answer(std::uint32_t core, const answer_job& item);

    fake_data_centre* m_centre;
    configuration::bundle m_bundle;
    std::map<std::pair<submission_id, std::uint32_t>, int> m_starts;
    std::set<std::pair<std::uint32_t, endpoint>> m_closed;
    std::map<std::pair<std::uint32_t, workspace_id>, std::size_t> m_tasks;
    std::set<submission_id> m_admitted;
    std::vector<std::string> m_breaches;
};

}  // namespace poplarshed::dispatch
