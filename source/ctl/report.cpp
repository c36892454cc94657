#include "ctl/report.h"

namespace poplarshed::ctl {

namespace {

report_json to_json(const std::vector<configuration::difference>& changes)
{
    report_json list = report_json::array();
    for (const configuration::difference& change : changes) {
        list.push_back({{"path", change.path}, {"before", change.before}, {"after", change.after}});
    }
    return list;
}

report_json to_json(const configuration::proposal& document)
{
    return {{"version", document.version.value()},
            {"digest", document.content.to_hex()},
            {"base", document.base.value()},
            {"proposer", document.proposer.value()},
            {"signed_off_by", document.signed_off_by.value()},
            {"note", document.note}};
}

std::string number(configuration_version version)
{
    return std::to_string(version.value());
}

std::string line_of(const configuration::proposal& document)
{
    const std::string& signer = document.signed_off_by.value();
    return number(document.version) + "  from " + number(document.base) + "  " + document.content.to_hex() +
           "  proposed by " + document.proposer.value() +
           (signer.empty() ? ", not signed off" : ", signed off by " + signer) +
           (document.note.empty() ? "" : ": " + document.note) + "\n";
}

report_json to_json(const std::vector<log_entry>& lines)
{
    report_json list = report_json::array();
    for (const log_entry& line : lines) {
        list.push_back({{"time", line.time_text},
                        {"instance", line.instance},
                        {"message", line.message},
                        {"fields", line.fields}});
    }
    return list;
}

std::string lines_of(const std::vector<log_entry>& lines)
{
    std::string text;
    for (const log_entry& line : lines) {
        text += "  " + line.time_text + "  " + line.instance + "  " + line.message;
        for (const auto& [key, value] : line.fields.items()) {
            if (!value.is_string() || !value.get_ref<const std::string&>().empty()) {
                text += "  " + key + " " + (value.is_string() ? value.get<std::string>() : value.dump());
            }
        }
        text += "\n";
    }
    return text;
}

}  // namespace

report report_of(const reviewed_proposal& item, const std::string& action)
{
    report out;
    out.json = to_json(item.document);
    out.json["action"] = action;
    out.json["changes"] = to_json(item.changes);
    out.text = action + " version " + line_of(item.document) + configuration::to_text(item.changes);
    return out;
}

report report_of(const rolled_out& item)
{
    report out;
    out.json = {{"action", "rolled_out"},
                {"version", item.document.version.value()},
                {"digest", item.document.content.to_hex()},
                {"previous", item.document.previous.value()},
                {"superseded_by", item.superseded_by.value()},
                {"changes", to_json(item.changes)}};
    out.text = "rolled out version " + number(item.document.version) + " after version " +
               number(item.document.previous) + "\n" + configuration::to_text(item.changes);
    if (item.superseded_by.value() != 0) {
        out.text += "version " + number(item.superseded_by) + " was rolled out on top of it since\n";
    }
    return out;
}

report report_of(const history& items)
{
    report out;
    out.json = {{"current", items.current ? items.current->version.value() : 0},
                {"pending", report_json::array()},
                {"past", report_json::array()}};
    for (const auto& document : items.pending) {
        out.json["pending"].push_back(to_json(document));
        out.text += "pending   " + line_of(document);
    }
    for (const auto& document : items.past) {
        out.json["past"].push_back(to_json(document));
        const bool in_force = items.current && document.version == items.current->version;
        out.text += (in_force ? "in force  " : "past      ") + line_of(document);
    }
    if (out.text.empty()) {
        out.text = "no configuration was ever proposed\n";
    }
    return out;
}

report report_of(const std::vector<configuration::difference>& changes)
{
    return {to_json(changes), changes.empty() ? "no difference\n" : configuration::to_text(changes)};
}

report report_of(const failure& cause)
{
    report out;
    out.json = {{"error", cause.message}, {"exit_code", static_cast<int>(cause.code)}};
    out.text = "poplarshedctl: " + cause.message + "\n";
    if (!cause.winning_change.empty()) {
        out.json["winning_change"] = to_json(cause.winning_change);
        out.text += "the winning change:\n" + configuration::to_text(cause.winning_change);
    }
    return out;
}

report report_of(const request_path& path)
{
    report out;
    out.json = {{"conclusion", path.conclusion},
                {"lines", to_json(path.own)},
                {"around", to_json(path.around)},
                {"unreadable_lines", path.unreadable},
                {"cut_off", path.cut_off}};
    out.text = path.conclusion + "\n";
    if (!path.own.empty()) {
        out.text += "request:\n" + lines_of(path.own);
    }
    if (!path.around.empty()) {
        out.text += "these instances, from 2 s before to 2 s after:\n" + lines_of(path.around);
    }
    if (path.cut_off) {
        out.text += "there were more lines than are shown\n";
    }
    if (path.unreadable > 0) {
        out.text += std::to_string(path.unreadable) + " lines are no log lines\n";
    }
    return out;
}

report report_of_bundle(const configuration::bundle& content)
{
    return {report_json::parse(configuration::canonical_text(content)),
            configuration::readable_text(content)};
}

report report_of_reason(refusal_reason reason)
{
    return {{{"reason", to_string(reason)},
             {"http_status", http_status(reason)},
             {"meaning", explanation(reason)}},
            std::string(to_string(reason)) + " (HTTP " + std::to_string(http_status(reason)) +
                "): " + std::string(explanation(reason)) + "\n"};
}

}  // namespace poplarshed::ctl
