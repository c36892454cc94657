#include <boost/test/unit_test.hpp>

#include "configuration/samples.h"

using namespace poplarshed;
using namespace poplarshed::configuration;
using namespace poplarshed::configuration::samples;

namespace {

const operator_id asha("asha");
const operator_id biju("biju");

template <class T>
std::string fault_of(const result<T>& outcome)
{
    return outcome ? "" : outcome.error().message;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(sign_off_rules)

// Guards against a configuration change that only its proposer has reviewed.
BOOST_AUTO_TEST_CASE(the_proposer_cannot_sign_off)
{
    const proposal document = proposal_of(bundle_of(8), 7);
    BOOST_TEST(fault_of(sign_off(document, asha, document.content)) ==
               "version 8 was proposed by asha; another operator must sign it off");
    BOOST_TEST(!parse_operator("Asha"));
    BOOST_TEST(!parse_operator("asha "));
}

// Guards against a sign-off of content that differs from the content that is rolled out.
BOOST_AUTO_TEST_CASE(the_reviewed_digest_must_match)
{
    const proposal document = proposal_of(bundle_of(8), 7);
    BOOST_TEST(fault_of(sign_off(document, biju, digest_of(bundle_of(8, 9)))).find("was reviewed") !=
               std::string::npos);
    const auto signed_document = sign_off(document, biju, document.content);
    BOOST_REQUIRE(signed_document);
    BOOST_TEST((signed_document.value().signed_off_by == biju));
    BOOST_TEST(fault_of(sign_off(signed_document.value(), operator_id("chitra"), document.content)) ==
               "version 8 is already signed off by biju");
    BOOST_TEST((sign_off(signed_document.value(), biju, document.content)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(roll_out_rules)

BOOST_AUTO_TEST_CASE(rolling_out_a_signed_proposal_updates_the_pointer)
{
    const bundle content = bundle_of(8);
    proposal document = proposal_of(content, 7);
    document.signed_off_by = biju;
    const auto updated = roll_out(pointer_to(bundle_of(7)), document, content, asha, 42);
    BOOST_REQUIRE_MESSAGE(updated, fault_of(updated));
    BOOST_TEST((updated.value() == pointer{configuration_version(8), digest_of(content),
                                           configuration_version(7), asha, biju, asha, 42}));
}

// Guards against a roll-out that lowers the version, lacks a sign-off by another operator, or overwrites
// another operator's change that the proposal is not based on.
BOOST_AUTO_TEST_CASE(each_rule_is_enforced)
{
    const bundle content = bundle_of(8);
    proposal document = proposal_of(content, 7);
    BOOST_TEST(fault_of(roll_out(pointer_to(bundle_of(7)), document, content, asha, 1)) ==
               "version 8 is not signed off");
    document.signed_off_by = asha;
    BOOST_TEST(fault_of(roll_out(pointer_to(bundle_of(7)), document, content, asha, 1)) ==
               "version 8 was signed off by its proposer");
    document.signed_off_by = biju;
    BOOST_TEST(fault_of(roll_out(pointer_to(bundle_of(7)), document, bundle_of(8, 9), asha, 1))
                   .find("is not the one that was signed off") != std::string::npos);
    BOOST_TEST(fault_of(roll_out(pointer_to(bundle_of(9)), document, content, asha, 1)) ==
               "version 8 is not above the version in force, 9");
    BOOST_TEST(
        fault_of(roll_out(pointer_to(bundle_of(6)), document, content, asha, 1)) ==
        "version 8 starts from version 7, but version 6 is in force now; propose it again on top of that");
    BOOST_TEST(!roll_out(std::nullopt, document, content, asha, 1));
}

BOOST_AUTO_TEST_CASE(parsing_restores_written_documents)
{
    const pointer current = pointer_to(bundle_of(7), 3);
    const auto parsed_pointer = parse_pointer(to_text(current), "p");
    BOOST_REQUIRE(parsed_pointer);
    BOOST_TEST((parsed_pointer.value() == current));
    proposal document = proposal_of(bundle_of(8), 7);
    document.note = "raise urgency \"now\"\n";
    const auto parsed_proposal = parse_proposal(to_text(document), "p");
    BOOST_REQUIRE_MESSAGE(parsed_proposal, fault_of(parsed_proposal));
    BOOST_TEST((parsed_proposal.value() == document));
    BOOST_TEST(!parse_pointer(R"({"version":1})", "p"));
    BOOST_TEST(!parse_pointer("[]", "p"));
}

BOOST_AUTO_TEST_SUITE_END()
