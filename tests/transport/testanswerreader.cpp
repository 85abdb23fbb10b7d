#include "transport/answerreader.h"

#include <absl/strings/str_cat.h>

#include <optional>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

struct Outcome
{
    int status = 0;
    std::string body;
    bool isWhole = false;
    bool hasExcess = false;
    HttpHeaders headers;
};

/** Reads an answer of which @p partBytes bytes of the body arrive at a time; nothing if it is malformed. */
std::optional<Outcome> read(std::string_view bytes, std::size_t partBytes = 7, bool isToHead = false)
{
    AnswerReader reader(isToHead);
    while (!reader.isHeadComplete()) {
        const std::size_t lineEnd = bytes.find('\n');
        const std::size_t size = lineEnd == std::string_view::npos ? bytes.size() : lineEnd + 1;
        if (size == 0) {
            return Outcome();
        }
        if (!reader.readHeadLine(bytes.substr(0, size))) {
            cr_assert_not(reader.error().empty());
            return std::nullopt;
        }
        bytes.remove_prefix(size);
    }
    Outcome outcome;
    outcome.status = reader.status();
    outcome.headers = reader.headers();
    std::string buffer;
    while (!bytes.empty()) {
        const auto part = reader.readBody(bytes.substr(0, partBytes), buffer);
        if (!part) {
            return std::nullopt;
        }
        outcome.body.append(*part);
        bytes.remove_prefix(std::min(partBytes, bytes.size()));
    }
    outcome.isWhole = reader.isBodyComplete() || reader.endsWithConnection();
    outcome.hasExcess = reader.hasExcess();
    return outcome;
}

std::string withFields(const std::string &fields, const std::string &body = "whole")
{
    return absl::StrCat("HTTP/1.1 200 OK\r\n", fields, "\r\n", body);
}

std::string inChunks(const std::string &body)
{
    return withFields("Transfer-Encoding: chunked\r\n", body);
}

bool isBroken(const std::string &bytes)
{
    const auto outcome = read(bytes);
    return !outcome || !outcome->isWhole;
}

void expectBody(const std::string &bytes, const std::string &body)
{
    for (const std::size_t partBytes : { std::size_t(1), std::size_t(7), bytes.size() }) {
        const auto outcome = read(bytes, partBytes);
        cr_assert(outcome && outcome->isWhole && outcome->status == 200, "%s", bytes.c_str());
        cr_assert_eq(outcome->body, body, "%s", bytes.c_str());
        cr_assert_not(outcome->hasExcess, "%s", bytes.c_str());
    }
}

} // namespace

Test(answerreader, properAnswersAreRead)
{
    expectBody(withFields(""), "whole");
    expectBody(withFields("Content-Length: 5\r\n"), "whole");
    expectBody(withFields("content-length:005 \t\r\n"), "whole");
    expectBody(withFields("Content-Length: 5, 5\r\nContent-Length: 5\r\n"), "whole");
    expectBody(withFields("Content-Length: 5\r\n!#$%&'*+-.^_`|~09azAZ: token\r\nX-Empty:\r\nX-Tab: a\tb\r\nX-High: \xc3\xa4\r\n"), "whole");
    expectBody("HTTP/1.1 200\nContent-Length: 5\n\nwhole", "whole");
    expectBody("HTTP/1.0 200 \r\n\r\nwhole", "whole");
    expectBody("HTTP/1.1 200 Quite \xe9\tfine\r\n\r\nwhole", "whole");
    expectBody(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + withFields("Content-Length: 5\r\n"), "whole");
    expectBody(inChunks("5\r\nwhole\r\n0\r\n\r\n"), "whole");
    expectBody(withFields("Transfer-Encoding: CHUNKED\r\n", "2\r\nwh\r\n003\r\nole\r\n000\r\n\r\n"), "whole");
    expectBody(inChunks("5;a;b=c ; d = \"e;\\\"f\"\r\nwhole\r\n0;last\r\nX-Trailer: 1\r\nX-Sum:\r\n\r\n"), "whole");
    expectBody(inChunks("A\n0123456789\na\n0123456789\n0\n\n"), "01234567890123456789");
    expectBody(inChunks("0\r\n\r\n"), "");
}

Test(answerreader, answersWithoutABodyAreWhole)
{
    for (const std::string &bytes :
        { std::string("HTTP/1.1 204 No Content\r\n\r\n"), std::string("HTTP/1.1 204 N\r\nContent-Length: 0\r\n\r\n"),
            std::string("HTTP/1.1 304 Not Modified\r\nContent-Length: 380\r\n\r\n") }) {
        cr_assert(read(bytes)->isWhole, "%s", bytes.c_str());
    }
    cr_assert(read(withFields("Content-Length: 380\r\n", ""), 1, true)->isWhole);
    cr_assert(read(withFields("Transfer-Encoding: chunked\r\n", ""), 1, true)->isWhole);
}

// Guards against a head whose length or coding is spoilt and that passes for a good one: the body that was read was not the server's.
Test(answerreader, spoiltFramingIsMalformed)
{
    for (const char *length : { "5x", "5.0", "0 5", "5 5", "0x5", "5, 380", "+5", "-5", "", ",", "5,", "five", "5;a", "\"5\"",
             "18446744073709551616", "99999999999999999999999999" }) {
        cr_assert_not(read(withFields(absl::StrCat("Content-Length: ", length, "\r\n"))), "%s", length);
    }
    for (const char *coding :
        { "", "chunked, identity", "chunked, chunked", "identity", "gzip, chunked", "chunked;q=1", "chunkedx", "x", "chunked x" }) {
        cr_assert_not(read(withFields(absl::StrCat("Transfer-Encoding: ", coding, "\r\n"), "5\r\nwhole\r\n0\r\n\r\n")), "%s", coding);
    }
    const std::string chunks = "5\r\nwhole\r\n0\r\n\r\n";
    cr_assert_not(read(withFields("Content-Length: 5\r\nContent-Length: 380\r\n")));
    cr_assert_not(read(withFields("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", chunks)));
    cr_assert_not(read(withFields("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", chunks)));
    cr_assert_not(read("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks));
    cr_assert_not(read("HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n"));
    cr_assert_not(read("HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n"));
}

// Guards against lines that are no header field and are dropped, passed on, or hide the field that tells the length.
Test(answerreader, linesThatAreNoFieldAreMalformed)
{
    for (const std::string &line :
        { std::string("no colon"), std::string(": empty name"), std::string(" X-Fold: 1"), std::string("\tfold"), std::string("X Blank: 1"),
            std::string("X-Blank : 1"), std::string("X-Tab\t: 1"), std::string("X-\x01Control: 1"), std::string("X-\x7f: 1"),
            std::string("X-\xc3\xa4: 1"), std::string("X(: 1"), std::string("X/: 1"), std::string("X\": 1"), std::string("X-Nul: \0", 8),
            std::string("X-Cr: a\rb"), std::string("X-Cr: a\r"), std::string("\rX: 1"), std::string("X-Escape: \x1b"),
            std::string("X-Delete: \x7f"), std::string("Content-Length : 5"), std::string("Transfer-Encoding : chunked") }) {
        cr_assert_not(read(withFields("Content-Length: 5\r\n" + line + "\r\n")), "%s", line.c_str());
        cr_assert_not(read(withFields(line + "\r\nContent-Length: 5\r\n")), "%s", line.c_str());
        cr_assert_not(read("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + withFields("Content-Length: 5\r\n")), "%s", line.c_str());
        cr_assert_not(read(inChunks("5\r\nwhole\r\n0\r\n" + line + "\r\n\r\n")), "%s", line.c_str());
    }
}

// Guards against an answer without a valid status that is passed on as one.
Test(answerreader, otherStatusLinesAreMalformed)
{
    for (const char *line :
        { "HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 1000 OK", "HTTP/1.1 20 OK",
            "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 200x", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 +20 OK",
            "HTTP/1.1 2x0 OK", "HTTP/1.1", "HTTP/1.1 ", "HTTP/2 200 OK", "HTTP/2.0 200 OK", "HTTP/1 200 OK", "HTTP/1.x 200 OK",
            "HTTP/1.10 200 OK", "http/1.1 200 OK", " HTTP/1.1 200 OK", "ICY 200 OK", "", "HTTP/1.1 200 a\x01", "HTTP/1.1 200 a\rb" }) {
        cr_assert_not(read(absl::StrCat(line, "\r\nContent-Length: 5\r\n\r\nwhole")), "%s", line);
    }
    cr_assert_not(read("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole"));
}

// Guards against a body whose chunks are spoilt and that is taken for a whole one.
Test(answerreader, spoiltChunksAreMalformed)
{
    for (const char *body : { "5x\r\nwhole\r\n0\r\n\r\n", "0x5\r\nwhole\r\n0\r\n\r\n", " 5\r\nwhole\r\n0\r\n\r\n",
             "5 \r\nwhole\r\n0\r\n\r\n", "+5\r\nwhole\r\n0\r\n\r\n", "-5\r\nwhole\r\n0\r\n\r\n", "\r\nwhole\r\n0\r\n\r\n",
             "5;\r\nwhole\r\n0\r\n\r\n", "5;a=\r\nwhole\r\n0\r\n\r\n", "5;a=\"b\r\nwhole\r\n0\r\n\r\n", "5;a b\r\nwhole\r\n0\r\n\r\n",
             "5;\x01\r\nwhole\r\n0\r\n\r\n", "5\rx\nwhole\r\n0\r\n\r\n", "10000000000000005\r\nwhole\r\n0\r\n\r\n", "5\r\nwhole0\r\n\r\n",
             "5\r\nwholeX\r\n0\r\n\r\n", "4\r\nwhole\r\n0\r\n\r\n", "5\r\nwhole\r\n0x\r\n\r\n", "5\r\nwhole\r\n0\r\nno field\r\n\r\n" }) {
        cr_assert_not(read(inChunks(body)), "%s", body);
    }
    for (const char *body :
        { "", "5", "5\r\nwho", "5\r\nwhole", "5\r\nwhole\r\n", "5\r\nwhole\r\n0", "5\r\nwhole\r\n0\r\n", "5\r\nwhole\r\n0\r\nX: 1\r\n" }) {
        cr_assert(isBroken(inChunks(body)), "cut: %s", body);
    }
}

// Guards against bytes behind a whole answer that are taken for a part of it.
Test(answerreader, bytesBehindAnAnswerBelongToNone)
{
    for (const std::string &bytes : { withFields("Content-Length: 5\r\n", "wholemore"), inChunks("5\r\nwhole\r\n0\r\n\r\nmore") }) {
        const auto outcome = read(bytes);
        cr_assert(outcome && outcome->isWhole && outcome->hasExcess);
        cr_assert_eq(outcome->body, "whole");
    }
    const auto empty = read("HTTP/1.1 204 No Content\r\n\r\nmore");
    cr_assert(empty && empty->isWhole && empty->hasExcess && empty->body.empty());
}

// Guards against lines around a body and heads without end, which would be kept.
Test(answerreader, linesWithoutEndAreMalformed)
{
    const std::string endless(ChunkDecoder::MaxLineBytes * 2, '1');
    cr_assert_not(read(inChunks(endless)));
    cr_assert_not(read(inChunks("5;" + endless)));
    cr_assert_not(read(inChunks("5\r\nwhole" + endless)));
    cr_assert_not(read(inChunks("0\r\nX: " + endless)));
    std::string fields;
    while (fields.size() <= ChunkDecoder::MaxTrailerBytes * 2) {
        fields += "X-More: x\r\n";
    }
    cr_assert_not(read(inChunks("0\r\n" + fields)));
    std::string interim;
    while (interim.size() <= AnswerReader::MaxHeadBytes) {
        interim += "HTTP/1.1 102 Processing\r\nX-More: x\r\n\r\n";
    }
    cr_assert_not(read(interim + withFields("")));
}

// Guards against a reader that crashes, or takes more for the body than was sent, whatever arrives.
Test(answerreader, anyBytesAreReadSafely)
{
    constexpr int Rounds = 20'000;
    const std::vector<std::string> seeds { withFields("Content-Length: 5\r\nX-A: b\r\n"),
        inChunks("5;a=\"b\"\r\nwhole\r\n2\r\nof\r\n0\r\nX-Trailer: 1\r\n\r\n"),
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + withFields("Content-Length: 5\r\n") };
    std::mt19937_64 random(1);
    int accepted = 0;
    for (int i = 0; i < Rounds; ++i) {
        std::string bytes = seeds[random() % seeds.size()];
        for (auto edits = random() % 3; edits > 0; --edits) {
            const std::size_t at = random() % bytes.size();
            constexpr std::string_view Special = "\r\n\t :;,=\"0";
            switch (random() % 3) {
            case 0:
                bytes.erase(at, 1 + random() % 3);
                bytes += 'x';
                break;
            case 1:
                bytes.insert(at, 1, Special[random() % Special.size()]);
                break;
            default:
                bytes[at] = static_cast<char>(random());
            }
        }
        const std::size_t partBytes = 1 + random() % bytes.size();
        const auto outcome = read(bytes, partBytes);
        const auto bytewise = read(bytes, 1);
        cr_assert_eq(outcome.has_value(), bytewise.has_value(), "the outcome depends on how the bytes arrive: %s", bytes.c_str());
        if (outcome) {
            accepted += outcome->isWhole ? 1 : 0;
            cr_assert_eq(outcome->body, bytewise->body);
            cr_assert_leq(outcome->body.size(), bytes.size());
            for (const auto &[name, value] : outcome->headers) {
                cr_assert(isToken(name) && isFieldText(value));
            }
        }
    }
    cr_assert(accepted > 0 && accepted < Rounds);
}
