#include "tarragontrail/config/bundle.hpp"
#include "tarragontrail/ctl/bundle_edit.hpp"
#include "tarragontrail/ctl/command_line.hpp"
#include "tarragontrail/ctl/ctl_error.hpp"
#include "tarragontrail/ctl/key_issue.hpp"
#include "unit_tests/config/sample_bundle.hpp"

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <rapidcheck.h>
#include <sstream>
#include <thread>

using namespace tarragontrail;
using nlohmann::json;

namespace {

using edit = std::function<void(json&)>;

/// Number from `first` to before `end`, spread evenly whatever the size of the case.
std::uint64_t pick(std::uint64_t first, std::uint64_t end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(first, end));
}

/// Every kind of edit over a few names, so that many of them meet what is there already.
std::vector<edit> random_edits()
{
    const std::string name = "made-" + std::to_string(pick(0, 4));
    const std::string path = "/" + name;
    const std::string digest = ctl::issue_key().m_digest;
    const ctl::workspace_limit limit{pick(0, 1000), pick(0, 1000)};
    const std::uint64_t priority = pick(0, 11);
    return {
        [=](json& to) { ctl::add_workspace(to, name, priority, limit); },
        [=](json& to) { ctl::set_workspace_limit(to, name, limit); },
        [=](json& to) { ctl::remove_workspace(to, name); },
        [=](json& to) { ctl::add_key(to, name, digest); },
        [=](json& to) { ctl::open_route(to, path); },
        [=](json& to) { ctl::close_route(to, path); },
        [=](json& to) {
            const json& region = to.at("regions").at(0);
            ctl::upstream_entry entry;
            entry.m_name = name;
            entry.m_kind = "service";
            entry.m_address = "127.0.0.1";
            entry.m_port = 9200;
            entry.m_region = region.at("name");
            entry.m_failure_domain = region.at("failure_domains").at(0);
            ctl::add_upstream(to, entry);
        },
        [=](json& to) { ctl::set_upstream_state(to, name, false); },
        [=](json& to) { ctl::set_upstream_state(to, name, true); },
        [=](json& to) { ctl::remove_upstream(to, name); },
    };
}

/// Instance that takes one request after another and breaks the connection without an answer.
class silent_instance
{
public:
    silent_instance() : m_thread([this] { run(); }) {}

    ~silent_instance()
    {
        m_stopping = true;
        // A connection of its own wakes the thread.
        boost::asio::io_context context;
        tcp::socket waker(context);
        waker.connect(m_acceptor.local_endpoint());
        m_thread.join();
    }

    /// Address and port.
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    /// Requests that arrived.
    int requests() const { return m_requests; }

private:
    using tcp = boost::asio::ip::tcp;

    void run()
    {
        while (true)
        {
            tcp::socket socket = m_acceptor.accept();
            if (m_stopping)
            {
                return;
            }
            std::string head;
            boost::system::error_code ignored;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(head), "\r\n\r\n", ignored);
            ++m_requests;
        }
    }

    boost::asio::io_context m_context; ///< Of the acceptor.
    tcp::acceptor m_acceptor{m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
    std::atomic<bool> m_stopping{false}; ///< The next connection is the last.
    std::atomic<int> m_requests{0};      ///< Requests that arrived.
    std::thread m_thread;                ///< Serves.
};

} // namespace

class ctl_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ctl_test);
    CPPUNIT_TEST(edits_keep_the_bundle_valid_and_raise_the_version);
    CPPUNIT_TEST(edits_change_what_they_name);
    CPPUNIT_TEST(issued_key_matches_its_digest);
    CPPUNIT_TEST(usage_errors_send_nothing);
    CPPUNIT_TEST(unreached_instance_is_told_apart);
    CPPUNIT_TEST(change_without_answer_is_sent_once);
    CPPUNIT_TEST_SUITE_END();

    void edits_keep_the_bundle_valid_and_raise_the_version()
    {
        const bool held = rc::check("an edit is refused or gives the next bundle", [] {
            json current = json::parse(config::serialize(test::sample_bundle(3, 1)));
            std::size_t applied = 0;
            for (int i = 0; i < 60; ++i)
            {
                const std::vector<edit> edits = random_edits();
                const edit& chosen = edits[pick(0, edits.size())];
                json edited = current;
                std::string text;
                try
                {
                    chosen(edited);
                    text = ctl::finish_edit(current, std::move(edited));
                }
                catch (const ctl::usage_error&)
                {
                    continue;
                }
                ++applied;
                const config::bundle next = config::parse_bundle(text);
                config::check_successor(config::parse_bundle(current.dump()), next);
                RC_ASSERT(next.m_version == applied + 1);
                current = json::parse(text);
            }
            RC_ASSERT(applied > 0U);
        });
        CPPUNIT_ASSERT(held);
    }

    void edits_change_what_they_name()
    {
        const json current = json::parse(config::serialize(test::sample_bundle(1, 7)));
        const std::string digest = ctl::issue_key().m_digest;
        json edited = current;
        ctl::add_workspace(edited, "made", 5, {100, 300});
        ctl::add_key(edited, "made", digest);
        ctl::open_route(edited, "/made");
        const config::bundle next = config::parse_bundle(ctl::finish_edit(current, edited));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, next.m_version);
        CPPUNIT_ASSERT(next.is_open_route("/made"));
        CPPUNIT_ASSERT_EQUAL(std::string("made"), ctl::workspace_of_key(edited, digest));

        // A key that was withdrawn may not come back by an edit.
        json withdrawn = edited;
        for (json& workspace : withdrawn["workspaces"])
        {
            for (json& key : workspace["keys"])
            {
                key["state"] = "withdrawn";
            }
        }
        CPPUNIT_ASSERT_THROW(ctl::finish_edit(withdrawn, edited), ctl::usage_error);
    }

    void issued_key_matches_its_digest()
    {
        const ctl::issued_key first = ctl::issue_key();
        const ctl::issued_key second = ctl::issue_key();
        CPPUNIT_ASSERT(first.m_key != second.m_key);
        CPPUNIT_ASSERT_EQUAL(config::to_hex(config::sha256(first.m_key)), first.m_digest);
        CPPUNIT_ASSERT_EQUAL(first.m_digest, ctl::digest_of(first.m_key));
        CPPUNIT_ASSERT_EQUAL(first.m_digest, ctl::digest_of(first.m_digest));
    }

    void usage_errors_send_nothing()
    {
        // The port is closed, so anything that was sent would end as unreachable.
        const std::vector<std::vector<std::string>> lines{
            {},
            {"bundle"},
            {"fleet", "all"},
            {"bundle", "check", "/nonexistent/bundle.json"},
            {"bundle", "review", "../head"},
            {"bundle", "advance", "2", "one"},
            {"quarantine", "clear", "12x"},
            {"workspace", "add", "court", "many", "1"},
            {"workspace", "add-key", "court", "not-a-digest"},
            {"upstream", "add", "one", "engine", "127.0.0.1:1", "north", "north-a"},
            {"upstream", "add", "one", "service", "somewhere", "north", "north-a"},
        };
        for (const std::vector<std::string>& line : lines)
        {
            CPPUNIT_ASSERT(run(line) == ctl::exit_code::usage);
        }
        m_settings.m_token = "secret-token\r\nX: y";
        CPPUNIT_ASSERT(run({"status"}) == ctl::exit_code::usage);
        CPPUNIT_ASSERT(m_errors.str().find("secret") == std::string::npos);
    }

    void unreached_instance_is_told_apart()
    {
        CPPUNIT_ASSERT(run({"status"}) == ctl::exit_code::unreachable);
        CPPUNIT_ASSERT(run({"key", "withdraw", "some-key"}) == ctl::exit_code::unreachable);
        CPPUNIT_ASSERT(run({"fleet"}) == ctl::exit_code::unreachable);
        m_settings.m_dry_run = true;
        CPPUNIT_ASSERT(run({"quarantine", "clear", "12"}) == ctl::exit_code::done);
    }

    void change_without_answer_is_sent_once()
    {
        const silent_instance first;
        const silent_instance second;
        const std::string closed = "127.0.0.1:1,";
        const std::string admins = closed + first.address() + "," + second.address();
        // The closed address is passed over, as nothing was sent there; then the change may have
        // taken effect, and no other instance may get it too.
        CPPUNIT_ASSERT(run({"bundle", "roll", "draft"}, admins) == ctl::exit_code::outcome_unknown);
        CPPUNIT_ASSERT_EQUAL(1, first.requests());
        CPPUNIT_ASSERT_EQUAL(0, second.requests());
        // A read changes nothing and goes to all of them.
        CPPUNIT_ASSERT(run({"status"}, admins) == ctl::exit_code::unreachable);
        CPPUNIT_ASSERT_EQUAL(2, first.requests());
        CPPUNIT_ASSERT_EQUAL(1, second.requests());
    }

private:
    ctl::exit_code run(const std::vector<std::string>& words,
                       const std::string& admins = "127.0.0.1:1")
    {
        m_settings.m_admins = admins;
        std::ostringstream output;
        return ctl::run_command_line(m_settings, words, output, m_errors);
    }

    config::ctl_settings m_settings; ///< Settings of the next run.
    std::ostringstream m_errors;     ///< What the runs told of failures.
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ctl_test, "ctl");
