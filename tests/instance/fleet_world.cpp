#include "instance/fleet_world.h"

#include <algorithm>
#include <utility>

namespace poplarshed::instance::test {

namespace {

// Workers write to the store each 500 ms; the store forgets one that has been silent three times as long.
constexpr milliseconds entry_lapse{1500};
constexpr milliseconds greatest_wall_offset{2000};

// From the order to the last start (users' rule).
constexpr milliseconds evacuation_bound{5000};

// Orders to workers that are sent meanwhile are on their way when the connections are reset.
constexpr milliseconds reset_duration{2};

std::size_t addresses_of(const fleet_shape& shape)
{
    return shape.data_centres * (shape.instances_in_each + shape.spares_in_each);
}

std::vector<std::string> names_of(std::size_t data_centres)
{
    const std::vector<std::string> all{"adur", "bera", "cala"};
    return {all.begin(), all.begin() + static_cast<std::ptrdiff_t>(data_centres)};
}

}  // namespace

void fleet_coverage::add(const fleet_coverage& other)
{
    jobs += other.jobs;
    completed += other.completed;
    refused += other.refused;
    unknown += other.unknown;
    starts += other.starts;
    resent += other.resent;
}

virtual_fleet::virtual_fleet(std::uint64_t seed, const fleet_shape& shape)
    : m_time(seed),
      m_data_centres(names_of(shape.data_centres)),
      m_instances(addresses_of(shape)),
      m_lives(addresses_of(shape)),
      m_worker_cuts(shape.data_centres * workers_in_each),
      m_store(m_time),
      m_workers(m_time, m_data_centres, workers_in_each, worker_events()),
      m_links(m_time, addresses_of(shape), link_events()),
      m_callers(m_time, caller_events())
{
    for (std::size_t centre = 0; centre < shape.data_centres; ++centre) {
        for (std::size_t i = 0; i < shape.instances_in_each; ++i) {
            add_instance(centre, i);
        }
    }
    const std::size_t first_spare = m_identities.size();
    for (std::size_t centre = 0; centre < shape.data_centres; ++centre) {
        for (std::size_t i = 0; i < shape.spares_in_each; ++i) {
            m_spares.push_back(m_identities.size());
            add_instance(centre, shape.instances_in_each + i);
        }
    }
    m_store.publish(m_workers.directory());
    const bool knows_all_workers = m_time.chance(0.6);
    for (std::size_t i = 0; i < first_spare; ++i) {
        start_instance(i, knows_all_workers);
    }
}

void virtual_fleet::add_instance(std::size_t data_centre, std::size_t number)
{
    const std::string& centre = m_data_centres.at(data_centre);
    instance_identity added;
    added.index = m_identities.size();
    added.address = endpoint(centre + "-" + std::to_string(number));
    added.data_centre = data_centre_id(centre);
    added.clock_offset = m_time.between(milliseconds(0), milliseconds(500'000));
    added.wall_offset = m_time.between(-greatest_wall_offset, greatest_wall_offset);
    m_addresses.push_back(added.address);
    m_identities.push_back(std::move(added));
}

void virtual_fleet::start_instance(std::size_t index, bool knows_all_workers)
{
    m_instances.at(index) = std::make_shared<virtual_instance>(
        m_identities.at(index), ++m_lives.at(index), knows_all_workers,
        instance_surroundings{
            m_time, m_links, m_workers, m_store, m_addresses,
            [this](std::size_t at, const routing::answer_caller& value) { m_callers.on_answer(at, value); }});
}

virtual_links::receivers virtual_fleet::link_events()
{
    virtual_links::receivers events;
    events.arrived = [this](std::size_t to, std::size_t from, fleet_message message) {
        m_instances.at(to)->receive(from, std::move(message));
    };
    events.closed = [this](std::size_t at, std::size_t peer) { m_instances.at(at)->on_closed(peer); };
    events.is_alive = [this](std::size_t index) { return is_alive(index); };
    return events;
}

virtual_workers::receivers virtual_fleet::worker_events()
{
    virtual_workers::receivers events;
    events.started = [this](const workers::task_ref& task, const std::string& worker) {
        ++m_starts;
        check_evacuation(task, worker);
        m_callers.on_started(task, worker);
    };
    events.broken_rule = [this](const std::string& job, const std::string& what) { break_rule(job, what); };
    events.directory_changed = [this] { m_store.publish(m_workers.directory()); };
    return events;
}

virtual_callers::receivers virtual_fleet::caller_events()
{
    virtual_callers::receivers events;
    events.submit = [this](std::optional<std::size_t> to, routing::caller_id caller,
                           const routing::route& target,
                           const routing::caller_job& job) { return submit(to, caller, target, job); };
    events.leave = [this](std::size_t at, routing::caller_id caller, milliseconds read_lag) {
        if (is_alive(at)) {
            m_instances.at(at)->on_caller_left(caller, read_lag);
        }
    };
    events.paused_time = [this](std::size_t at) { return m_instances.at(at)->paused_time(); };
    events.broken_rule = [this](const std::string& job, const std::string& what) { break_rule(job, what); };
    return events;
}

void virtual_fleet::evacuate(std::size_t data_centre, milliseconds length)
{
    const std::string& centre = m_data_centres.at(data_centre);
    if (!m_evacuated_at.emplace(centre, m_time.now()).second) {
        return;
    }
    note_fault("evacuation of " + centre, length);
    m_store.set_evacuated(data_centre_id(centre), true);
    m_time.after(length, [this, centre] {
        m_time.note({}, "end of the evacuation of " + centre);
        m_evacuated_at.erase(centre);
        m_store.set_evacuated(data_centre_id(centre), false);
    });
}

void virtual_fleet::check_evacuation(const workers::task_ref& task, const std::string& worker)
{
    const auto since = m_evacuated_at.find(worker.substr(0, worker.find('-')));
    if (since != m_evacuated_at.end() && m_time.now() > since->second + evacuation_bound) {
        break_rule(task.job.value(), "a start on " + worker + ", whose data centre is evacuated");
    }
}

void virtual_fleet::reset_connections()
{
    m_time.note({}, "FAULT all connections are reset");
    m_links.reset_all();
    m_callers.reset_connections();
    if (m_time.now() < m_resetting_until) {
        return;
    }
    m_resetting_until = m_time.now() + reset_duration;
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        const order_faults before = m_workers.faults(i);
        m_workers.faults(i).lost = 0.5;
        m_workers.faults(i).late_answer = 0.5;
        m_time.after(reset_duration, [this, i, before] { m_workers.faults(i) = before; });
    }
}

std::optional<std::size_t> virtual_fleet::submit(std::optional<std::size_t> to, routing::caller_id caller,
                                                 const routing::route& target, const routing::caller_job& job)
{
    std::vector<std::size_t> alive;
    for (std::size_t i = 0; i < size(); ++i) {
        if (is_alive(i)) {
            alive.push_back(i);
        }
    }
    if (alive.empty()) {
        return std::nullopt;
    }
    const std::size_t chosen = to ? *to : alive.at(m_time.below(alive.size()));
    m_instances.at(chosen)->submit(caller, target, job);
    return chosen;
}

std::size_t virtual_fleet::holder(std::size_t data_centre) const
{
    const routing::pool_id pool(m_data_centres.at(data_centre) + "/desk/0");
    const auto found = std::find(m_addresses.begin(), m_addresses.end(), m_store.holder(pool));
    return static_cast<std::size_t>(std::distance(m_addresses.begin(), found));
}

bool virtual_fleet::has_holder(std::size_t data_centre) const
{
    return m_store.has_holder(routing::pool_id(m_data_centres.at(data_centre) + "/desk/0"));
}

void virtual_fleet::break_rule(const std::string& job, const std::string& what)
{
    m_violations.push_back(std::to_string(m_time.elapsed().count()) + " ms " + what + ", job " + job +
                           m_time.history(job));
}

void virtual_fleet::advance(milliseconds time)
{
    const time_point until = m_time.now() + time;
    while (m_time.now() < until && m_violations.empty()) {
        m_time.step();
        m_workers.step();
        m_store.step();
        for (const auto& instance : m_instances) {
            if (instance != nullptr) {
                instance->turn();
            }
        }
    }
}

void virtual_fleet::note_fault(const std::string& text, milliseconds length)
{
    m_time.note({}, "FAULT " + text + " for " + std::to_string(length.count()) + " ms");
}

void virtual_fleet::cut(std::size_t from, std::size_t to, milliseconds length)
{
    note_fault("cut from " + name(from) + " to " + name(to), length);
    m_links.cut(from, to, length);
}

void virtual_fleet::cut_off_instance(std::size_t index, milliseconds length)
{
    note_fault("cut of " + name(index) + " from all others", length);
    for (std::size_t other = 0; other < size(); ++other) {
        if (other != index) {
            m_links.cut(index, other, length);
            m_links.cut(other, index, length);
        }
    }
}

void virtual_fleet::lose_frames(std::size_t from, std::size_t to, milliseconds length)
{
    note_fault("frames lost from " + name(from) + " to " + name(to), length);
    m_links.lose(from, to, length);
}

void virtual_fleet::slow_down(std::size_t from, std::size_t to, milliseconds extra, milliseconds length)
{
    note_fault(
        "delay from " + name(from) + " to " + name(to) + " of " + std::to_string(extra.count()) + " ms",
        length);
    m_links.slow_down(from, to, extra, length);
}

void virtual_fleet::pause(std::size_t index, milliseconds length)
{
    if (is_alive(index)) {
        note_fault("pause of " + name(index), length);
        m_instances.at(index)->pause(length);
    }
}

void virtual_fleet::step_clock(std::size_t index, milliseconds by)
{
    note_fault("time of day of " + name(index) + " jumps", by);
    m_identities.at(index).wall_offset += by;
    if (is_alive(index)) {
        m_instances.at(index)->step_wall_clock(by);
    }
}

void virtual_fleet::kill(std::size_t index, milliseconds until_start)
{
    if (!is_alive(index)) {
        return;
    }
    note_fault("end of " + name(index), until_start);
    end_instance(index);
    start_again(index, until_start);
}

void virtual_fleet::end_instance(std::size_t index)
{
    m_instances.at(index).reset();
    m_links.on_killed(index);
    m_callers.on_killed(index);
}

void virtual_fleet::start_again(std::size_t index, milliseconds until_start)
{
    m_time.after(until_start, [this, index] {
        m_time.note({}, "start of " + name(index));
        start_instance(index, false);
        m_links.on_started(index);
    });
}

void virtual_fleet::replace(std::size_t index, milliseconds until_start)
{
    const auto spare = std::find_if(m_spares.begin(), m_spares.end(), [this, index](std::size_t other) {
        return m_identities.at(other).data_centre == m_identities.at(index).data_centre;
    });
    if (!is_alive(index) || spare == m_spares.end()) {
        return;
    }
    note_fault("end for good of " + name(index) + ", replaced by " + name(*spare), until_start);
    end_instance(index);
    start_again(*spare, until_start);
    m_spares.erase(spare);
}

void virtual_fleet::cut_off_worker(std::size_t index, milliseconds length)
{
    // From all instances and at times the store, or only from the instances of one data centre.
    std::set<std::size_t> instances;
    const std::size_t centre = m_time.below(m_data_centres.size() * 2);
    for (std::size_t i = 0; i < size(); ++i) {
        if (centre >= m_data_centres.size() ||
            m_identities.at(i).data_centre.value() == m_data_centres.at(centre)) {
            instances.insert(i);
        }
    }
    note_fault(
        "cut of worker " + std::to_string(index) + " from " + std::to_string(instances.size()) + " instances",
        length);
    const bool from_store = m_time.chance(0.4);
    m_workers.cut_off(index, std::move(instances));
    const std::uint64_t number = ++m_worker_cuts.at(index);
    if (from_store && length > entry_lapse) {
        m_time.after(entry_lapse, [this, index, number] {
            if (m_worker_cuts.at(index) == number) {
                m_workers.listed(index, false);
            }
        });
    }
    m_time.after(length, [this, index, number] {
        if (m_worker_cuts.at(index) == number) {
            m_workers.cut_off(index, {});
            m_workers.listed(index, m_workers.is_up(index));
        }
    });
}

void virtual_fleet::crash_worker(std::size_t index, milliseconds until_start)
{
    if (!m_workers.is_up(index)) {
        return;
    }
    note_fault("crash of worker " + std::to_string(index), until_start);
    m_workers.crash(index);
    if (until_start > entry_lapse) {
        m_time.after(entry_lapse, [this, index] { m_workers.listed(index, m_workers.is_up(index)); });
    }
    m_time.after(until_start, [this, index] { m_workers.come_back(index); });
}

void virtual_fleet::restart_worker(std::size_t index, milliseconds until_start, milliseconds until_shown)
{
    if (!m_workers.is_up(index)) {
        return;
    }
    note_fault("restart of worker " + std::to_string(index) + ", shown " +
                   std::to_string(until_shown.count()) + " ms later, down",
               until_start);
    m_workers.crash_unseen(index);
    m_time.after(until_start, [this, index] { m_workers.come_back_unseen(index); });
    m_time.after(until_start + until_shown, [this, index] { m_workers.show_present(index); });
}

void virtual_fleet::revoke_record()
{
    m_time.note({}, "FAULT a record is revoked");
    m_store.revoke_one();
}

void virtual_fleet::show_stale_store(std::size_t index, milliseconds length)
{
    note_fault("stale reads of " + name(index), length);
    m_store.show_stale(index, length);
}

void virtual_fleet::check_end()
{
    m_callers.check_answered();
    for (const std::string& job : m_workers.runs()) {
        break_rule(job, "a run that nobody asked for");
    }
}

fleet_coverage virtual_fleet::coverage() const
{
    using routing::answer_kind;
    return {m_callers.sent(),
            m_callers.answers(answer_kind::completed),
            m_callers.answers(answer_kind::refused),
            m_callers.answers(answer_kind::unknown_end),
            m_starts,
            m_callers.resent()};
}

}  // namespace poplarshed::instance::test
