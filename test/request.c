/**
 * @file request.c
 * Tests of the parser of callers' requests on bytes alone: each request is also given byte by byte.
 */
#include "net/request.h"
#include "test/suite.h"

#include <string.h>

static const struct request_limits limits = {4096, 8192};

/** What a parser delivered. */
struct received {
	struct buf body;
	struct buf text; /* method, path and headers */
	enum request_state state;
	int status;
	size_t used;
};

static void
on_body (void *user, const char *data, size_t len)
{
	buf_add (&((struct received *)user)->body, data, len);
}

static void
note_head (const struct request_parser *parser, struct received *received)
{
	buf_addf (&received->text, "%s %s", parser->method, parser->uri);
	for (int i = 0; i < parser->header_count; i++)
		buf_addf (&received->text, "|%s=%s", parser->headers[i].name,
			parser->headers[i].value);
}

/* Parses a text in pieces of a size. */
static struct received
parse_pieces (const char *text, size_t len, size_t piece)
{
	struct received received = {.state = REQUEST_PARTIAL};
	struct request_parser parser;
	bool has_head = false;
	buf_init (&received.body);
	buf_init (&received.text);
	request_init (&parser, &limits, on_body, &received);
	while (received.used < len && received.state <= REQUEST_HEAD) {
		size_t used = 0;
		size_t part = len - received.used < piece ? len - received.used : piece;
		received.state = request_parse (&parser, text + received.used, part, &used);
		received.used += used;
		if (!has_head &&
			(received.state == REQUEST_HEAD || received.state == REQUEST_COMPLETE)) {
			note_head (&parser, &received);
			request_drop_head (&parser);
			has_head = true;
		}
	}
	received.status = parser.status;
	request_finish (&parser);
	return received;
}

static void
received_finish (struct received *received)
{
	buf_finish (&received->body);
	buf_finish (&received->text);
}

static const char *
text_of (const struct buf *buf)
{
	return buf->len ? buf->data : "";
}

/* Bytes that follow the request must be left. */
static void
check_complete (const char *request, const char *head, const char *body)
{
	struct buf text;
	size_t len = strlen (request);
	buf_init (&text);
	buf_addf (&text, "%sGET /next", request);
	for (size_t piece = 1; piece <= text.len;
		piece = piece == 1 ? 7 : text.len + (piece == text.len)) {
		struct received received = parse_pieces (text.data, text.len, piece);
		CU_ASSERT_EQUAL (received.state, REQUEST_COMPLETE);
		CU_ASSERT_EQUAL (received.used, len);
		CU_ASSERT_STRING_EQUAL (text_of (&received.text), head);
		CU_ASSERT_STRING_EQUAL (text_of (&received.body), body);
		received_finish (&received);
	}
	buf_finish (&text);
}

static void
check_refused (const char *text, size_t len, int status)
{
	static const size_t pieces[] = {1, 7, 1 << 20};
	for (size_t i = 0; i < sizeof (pieces) / sizeof (pieces[0]); i++) {
		struct received received = parse_pieces (text, len, pieces[i]);
		CU_ASSERT_EQUAL (received.state, REQUEST_REFUSED);
		CU_ASSERT_EQUAL (received.status, status);
		received_finish (&received);
	}
}

static void
check_bad (const char *text)
{
	check_refused (text, strlen (text), 400);
}

#define HOST "Host: h\r\n"

static void
test_requests_are_read_whole (void)
{
	check_complete ("GET /a?b=%20 HTTP/1.1\r\n" HOST "\r\n", "GET /a?b=%20|Host=h", "");
	check_complete ("\r\nGET / HTTP/1.1\r\n" HOST "\r\n", "GET /|Host=h", "");
	check_complete ("GET / HTTP/1.0\r\n\r\n", "GET /", "");
	check_complete ("BREW /a HTTP/1.1\r\n" HOST "X-E:\r\nX-L:  a b\t\r\n\r\n",
		"BREW /a|Host=h|X-E=|X-L=a b", "");
	check_complete ("POST /a HTTP/1.1\r\n" HOST "Content-Length: 3\r\n\r\nabc",
		"POST /a|Host=h|Content-Length=3", "abc");
	check_complete ("POST /a HTTP/1.1\r\n" HOST
			"Content-Length: 2\r\nContent-Length: 2\r\n\r\nab",
		"POST /a|Host=h|Content-Length=2|Content-Length=2", "ab");
	check_complete ("POST /a HTTP/1.1\r\n" HOST "Transfer-Encoding: Chunked\r\n\r\n"
			"3\r\nabc\r\n00a;x=\"y\"\r\n0123456789\r\n0\r\nX-T: t\r\n\r\n",
		"POST /a|Host=h|Transfer-Encoding=Chunked", "abc0123456789");
}

/* Guards against a request that is read differently from how its sender meant it (review/8). */
static void
test_requests_that_can_be_read_in_two_ways_are_refused (void)
{
	check_bad ("POST / HTTP/1.1\r\n" HOST "Content-Length: 3\r\nContent-Length: 40\r\n\r\nabc");
	check_bad ("POST / HTTP/1.1\r\n" HOST "Content-Length: 3, 3\r\n\r\nabc");
	check_bad ("POST / HTTP/1.1\r\n" HOST "Content-Length: +3\r\n\r\nabc");
	check_bad ("POST / HTTP/1.1\r\n" HOST "Content-Length: 0x3\r\n\r\nabc");
	check_bad ("POST / HTTP/1.1\r\n" HOST "Content-Length:\r\n\r\nabc");
	check_bad ("POST / HTTP/1.1\r\n" HOST "Content-Length: 9999999999999999999\r\n\r\n");
	check_bad ("POST / HTTP/1.1\r\n" HOST "Content-Length:\r\n 3\r\n\r\nabc");
	check_bad ("POST / HTTP/1.1\r\n" HOST
		   "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
	check_bad ("POST / HTTP/1.1\r\n" HOST
		   "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n");
	check_bad ("POST / HTTP/1.1\r\n" HOST
		   "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
	check_bad ("POST / HTTP/1.0\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
	check_bad ("GET / HTTP/1.1\r\n" HOST "Content-Length : 3\r\n\r\nabc");
	check_bad ("GET / HTTP/1.1\r\n" HOST "X-A: b\r\n Transfer-Encoding: chunked\r\n\r\n");
	check_bad ("GET / HTTP/1.1\r\n" HOST "X-A: b\rX-B: c\r\n\r\n");
	check_bad ("GET / HTTP/1.1\r\n" HOST "X-A: b\nX-B: c\r\n\r\n");
	check_bad ("GET / HTTP/1.1\n" HOST "\r\n");
	check_bad ("GET / HTTP/1.1\r\n" HOST "Host: other\r\n\r\n");
	check_bad ("GET / HTTP/1.1\r\n\r\n");
	check_refused ("GET / HTTP/1.1\r\n" HOST "X-A: b\0c\r\n\r\n", 37, 400);
	check_refused (
		"POST / HTTP/1.1\r\n" HOST "Transfer-Encoding: gzip, chunked\r\n\r\n", 64, 501);
}

/* Guards against a method that is cut, and against lines that are no request. */
static void
test_malformed_request_lines_are_refused (void)
{
	check_bad ("ABCDEFGHIJKLMNOPQRSTUVWXYZABCDEF / HTTP/1.1\r\n" HOST "\r\n");
	check_complete ("ABCDEFGHIJKLMNOPQRSTUVWXYZABCDE / HTTP/1.1\r\n" HOST "\r\n",
		"ABCDEFGHIJKLMNOPQRSTUVWXYZABCDE /|Host=h", "");
	check_bad ("GET  / HTTP/1.1\r\n" HOST "\r\n");
	check_bad ("GET / x HTTP/1.1\r\n" HOST "\r\n");
	check_bad ("GET /\r\n" HOST "\r\n");
	check_bad (" GET / HTTP/1.1\r\n" HOST "\r\n");
	check_bad ("G(T / HTTP/1.1\r\n" HOST "\r\n");
	check_bad ("GET / HTTP/1.1 \r\n" HOST "\r\n");
	check_bad ("GET / http/1.1\r\n" HOST "\r\n");
	check_refused ("GET / HTTP/2.0\r\n" HOST "\r\n", 27, 505);
	check_bad ("\r\n\r\n\r\n\r\n\r\n\r\n");
}

static void
test_malformed_chunks_are_refused (void)
{
	static const char *const bodies[] = {"\r\n", "g\r\n", "-1\r\nx", "3 x\r\nabc", "3\nabc\r\n",
		"3\r\nabcd\r\n", "3\r\nabc\n", "0000000000001\r\n", "0\r\nX: \x01\r\n\r\n"};
	for (size_t i = 0; i < sizeof (bodies) / sizeof (bodies[0]); i++) {
		struct buf text;
		buf_init (&text);
		buf_addf (&text, "POST / HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n%s",
			bodies[i]);
		check_bad (text.data);
		buf_finish (&text);
	}
}

/* Adds bytes until the parser ends; returns how many it took. */
static size_t
send_endlessly (const char *start, const char *more, int *status)
{
	struct request_parser parser;
	struct received received = {0};
	size_t used = 0;
	size_t sent = 0;
	request_init (&parser, &limits, on_body, &received);
	enum request_state state = request_parse (&parser, start, strlen (start), &used);
	if (state == REQUEST_HEAD)
		state = request_parse (&parser, start + used, strlen (start) - used, &used);
	while (state == REQUEST_PARTIAL && sent < 1 << 20) {
		state = request_parse (&parser, more, strlen (more), &used);
		sent += used;
		CU_ASSERT_TRUE (request_memory (&parser) < 64 * 1024);
	}
	*status = parser.status;
	request_finish (&parser);
	return sent;
}

/* Guards against memory that grows with what a caller sends. */
static void
test_heads_and_framing_are_limited (void)
{
	int status = 0;
	CU_ASSERT_TRUE (send_endlessly ("GET /", "aaaaaaaa", &status) < 4200);
	CU_ASSERT_EQUAL (status, 414);
	CU_ASSERT_TRUE (send_endlessly ("GET / HTTP/1.1\r\n", "a: b\r\n", &status) < 8300);
	CU_ASSERT_EQUAL (status, 431);
	CU_ASSERT_TRUE (send_endlessly ("GET / HTTP/1.1\r\nX: ", "aaaaaaaa", &status) < 8300);
	CU_ASSERT_EQUAL (status, 431);
	static const char chunked[] =
		"POST / HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n";
	CU_ASSERT_TRUE (send_endlessly (chunked, "1;", &status) < 5000);
	CU_ASSERT_EQUAL (status, 400);
	struct buf trailers;
	buf_init (&trailers);
	buf_addf (&trailers, "%s0\r\n", chunked);
	CU_ASSERT_TRUE (send_endlessly (trailers.data, "a: b\r\n", &status) < 20000);
	CU_ASSERT_EQUAL (status, 400);
	buf_finish (&trailers);
}

int
main (void)
{
	static const struct suite_test tests[] = {
		TEST (requests_are_read_whole),
		TEST (requests_that_can_be_read_in_two_ways_are_refused),
		TEST (malformed_request_lines_are_refused),
		TEST (malformed_chunks_are_refused),
		TEST (heads_and_framing_are_limited),
	};
	return suite_run ("request", tests, sizeof (tests) / sizeof (tests[0]));
}
