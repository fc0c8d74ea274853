import {createServer, type RequestListener} from 'node:http';
import {type AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {SystemTimerService} from '@fescuewick/core';
import {createAdminFetch} from './admin-fetch.js';

async function serve(t: ExecutionContext, listener: RequestListener): Promise<string> {
	const server = createServer(listener);
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const fetch = createAdminFetch(new SystemTimerService(), 300);

// Guards against a request body that is not sent and a response body that is not read.
test('a request sends its body and resolves with the status and body of the response', async t => {
	const url = await serve(t, async (request, response) => {
		const chunks: Uint8Array[] = [];
		for await (const chunk of request) {
			chunks.push(chunk as Uint8Array);
		}

		response.writeHead(202).end(JSON.stringify({receivedBody: new TextDecoder().decode(chunks[0])}));
	});
	t.deepEqual(await fetch({method: 'POST', url, body: {keyHashes: []}}), {status: 202, body: {receivedBody: '{"keyHashes":[]}'}});
});

// Guards against a command that hangs because a VM accepts connections but does not respond.
test('endpoints that do not respond, stall, send malformed JSON or refuse connections are reported as unreachable', async t => {
	const silent = await serve(t, () => undefined);
	const stalled = await serve(t, (_request, response) => {
		response.writeHead(200);
		response.write('{');
	});
	const malformed = await serve(t, (_request, response) => {
		response.end('{');
	});
	for (const url of [silent, stalled, malformed, 'http://127.0.0.1:1']) {
		t.like(await t.throwsAsync(async () => fetch({method: 'GET', url}), {any: true}), {code: 4006}, url);
	}
});
