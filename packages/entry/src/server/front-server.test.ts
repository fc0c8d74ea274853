import test from 'ava';
import {createMemoryLogger} from '@fescuewick/core';
import {shopKey, startDeployment} from '../testing/deployment.js';
import {sendRaw, startRawServer} from '../testing/raw-server.js';

const limits = {
	headerTimeMs: 600, bodyTimeMs: 400, maxBodyBytes: 200_000, maxHeaderBytes: 4096,
};
const host = 'host: entry\r\n';
const key = `x-api-key: ${shopKey}\r\n`;
const put = `PUT /check HTTP/1.1\r\n${host}${key}`;
const get = (path: string, headers = key) => `GET ${path} HTTP/1.1\r\n${host}${headers}connection: close\r\n\r\n`;

/** Requests that must be refused without being forwarded, with the expected result code. */
const refused: ReadonlyArray<readonly [name: string, bytes: string, code: number]> = [
	['text that is not HTTP', 'hello\r\n\r\n', 1100],
	['a request without host', `GET /check HTTP/1.1\r\n${key}\r\n`, 1100],
	['both content-length and transfer-encoding', `${put}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`, 1100],
	['two content-length headers', `${put}content-length: 5\r\ncontent-length: 6\r\n\r\nabcdef`, 1100],
	['a transfer coding other than chunked', `${put}transfer-encoding: gzip\r\n\r\nabc`, 1100],
	['a malformed chunk', `${put}transfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n`, 1100],
	['a header name with a space before the colon', `GET /check HTTP/1.1\r\n${host}x-api-key : ${shopKey}\r\n\r\n`, 1100],
	['a folded header', `GET /check HTTP/1.1\r\n${host}x-a: b\r\n c\r\n${key}\r\n`, 1100],
	['headers over the limit', get('/check', `${key}x-long: ${'a'.repeat(5000)}\r\n`), 1107],
	['headers that arrive too slowly', `GET /check HTTP/1.1\r\n${host}x-a: `, 1109],
	['a body over the limit', `${put}content-length: 200001\r\n\r\n`, 1108],
	['a body that arrives too slowly', `${put}content-length: 100\r\n\r\nabc`, 1109],
	['a key in two headers', get('/check', `${key}authorization: Bearer ${shopKey}\r\n`), 1106],
	['the same key header twice in different case', get('/check', `${key}X-API-KEY: ${shopKey}\r\n`), 1106],
	['a key parameter in the query', get('/check?api_key=abc'), 1105],
	['an issued key in any query parameter', get(`/check?t=${shopKey}`, ''), 1105],
	['the key in the path', get(`/check/${shopKey}`), 1105],
	['an upgrade', get('/check', `${key}upgrade: websocket\r\n`), 1100],
	['CONNECT', `CONNECT 127.0.0.1:1 HTTP/1.1\r\n${host}\r\n`, 1100],
	['an unknown expectation', get('/check', `${key}expect: something\r\n`), 1100],
	['an absolute target', get('http://127.0.0.1/check'), 1100],
	['a dot segment from an open to a keyed route', get('/open/../check', ''), 1100],
	['an encoded dot segment', get('/open/%2e%2E/check', ''), 1100],
	['a dot segment with a path parameter', get('/open/..;x/check', ''), 1100],
	['an encoded slash', get('/open/..%2fcheck', ''), 1100],
	['a doubly encoded dot segment', get('/open/%252e%252e/check', ''), 1100],
	['a path that shares only a partial segment with a route', get('/checkout'), 1101],
	['a method without a route', `DELETE /check HTTP/1.1\r\n${host}${key}connection: close\r\n\r\n`, 1101],
];

// Guards against input that a backend server might parse differently, or that occupies the daemon.
for (const [name, bytes, code] of refused) {
	test(`${name} is refused with ${code}`, async t => {
		const deployment = await startDeployment({limits});
		t.teardown(async () => deployment.stop());
		const answer = await sendRaw(deployment.url, bytes);
		t.regex(answer, new RegExp(`x-fescuewick-code: ${code}\r\n`, 'i'));
		t.is(answer.split('HTTP/1.1 ').length, 2, 'exactly one answer');
		t.is(deployment.backends[0].observations.runs, 0);
	});
}

// Guards against running a request with a truncated body as if it were complete.
test('a request that ends in the middle of its body does not run', async t => {
	const deployment = await startDeployment({limits});
	t.teardown(async () => deployment.stop());
	const pending = sendRaw(deployment.url, `POST /order HTTP/1.1\r\n${host}${key}content-length: 10\r\n\r\nabc`);
	t.notRegex(await pending, /x-fescuewick-code: 1000/);
	t.is(deployment.backends[0].observations.runs, 0);
});

// Guards against an error answer to a malformed pipelined request that is read as part of the previous answer.
test('an error in a pipelined request does not corrupt the previous answer', async t => {
	const deployment = await startDeployment({limits, backends: [{serviceMs: 100}]});
	t.teardown(async () => deployment.stop());
	const answer = await sendRaw(deployment.url, `GET /check HTTP/1.1\r\n${host}${key}\r\n`, 'nonsense\r\n\r\n');
	t.notRegex(answer, /x-fescuewick-code: 1100/);
});

// Guards against waiting for a body without sending 100 Continue, and against requesting the body of a refused request.
test('expect: 100-continue is answered only after the key check', async t => {
	const deployment = await startDeployment({limits});
	t.teardown(async () => deployment.stop());
	const good = await sendRaw(deployment.url, `${put}expect: 100-continue\r\ncontent-length: 2\r\nconnection: close\r\n\r\n`, 'ok');
	t.regex(good, /^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200 OK/);
	const bad = await sendRaw(deployment.url, `PUT /check HTTP/1.1\r\n${host}expect: 100-continue\r\ncontent-length: 2\r\n\r\n`);
	t.regex(bad, /^HTTP\/1.1 401/);
});

// Guards against HEAD answers with a body, which would be read as the start of the next answer.
test('HEAD is answered without a body, also for errors', async t => {
	const deployment = await startDeployment({limits});
	t.teardown(async () => deployment.stop());
	for (const [headers, status] of [[key, 200], ['', 401]] as const) {
		const answer = await sendRaw(deployment.url, `HEAD /check HTTP/1.1\r\n${host}${headers}connection: close\r\n\r\n`);
		t.true(answer.startsWith(`HTTP/1.1 ${status}`));
		t.true(answer.endsWith('\r\n\r\n'));
	}
});

// Guards against keys that leak to a backend server or a log, and against callers that set system headers.
test('a backend server receives no key and no system header of the caller', async t => {
	const lines: Array<Record<string, unknown>> = [];
	const raw = await startRawServer(socket => {
		socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-fescuewick-code: 9\r\nconnection: x-hop\r\nx-hop: 1\r\nx-shed: 0\r\nx-kept: 1\r\n\r\nok');
	});
	const deployment = await startDeployment({limits, records: () => [raw.record], logger: createMemoryLogger(lines)});
	t.teardown(async () => deployment.stop());
	t.teardown(async () => raw.close());
	const answer = await sendRaw(deployment.url, [
		'PUT /check?a=1 HTTP/1.1',
		'host: entry',
		`AUTHORIZATION: bearer ${shopKey}`,
		`Cookie: session=${shopKey}`,
		`x-note: my key is ${encodeURIComponent(shopKey)}`,
		'X-Fescuewick-Workspace: other',
		'x_fescuewick_class: vip',
		'x-http-method-override: DELETE',
		'connection: close, x-nominated',
		'x-nominated: 1',
		'x-plain: 1',
		'transfer-encoding: chunked',
		'trailer: x-api-key',
		'',
		'2',
		'ok',
		'0',
		`x-api-key: ${shopKey}`,
		'',
		'',
	].join('\r\n'));
	t.is(raw.requests.length, 1);
	const sent = raw.requests[0];
	t.false(sent.includes(shopKey));
	t.notRegex(sent, /other|vip|override|x-nominated|trailer|cookie|authorization/i);
	t.regex(sent, /x-fescuewick-workspace: shop\r\n/);
	t.regex(sent, /x-plain: 1\r\n/);
	t.regex(sent, /x-fescuewick-deadline-ms: \d+\r\n/);
	t.regex(answer, /x-fescuewick-code: 1000\r\n/);
	t.regex(answer, /x-kept: 1\r\n/);
	t.notRegex(answer, /x-hop|x-shed|code: 9/);
	t.false(JSON.stringify(lines).includes(shopKey));
	t.true(lines.some(line => line.decision === 'route' && line.reason === 'forwarded'));
});
