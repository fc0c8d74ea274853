import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {shopKey, startDeployment} from './testing/deployment.js';

/** Time after which a request that was sent would have reached a server. */
const settleMs = 300;
const checkText = `GET /check/1 HTTP/1.1\r\nhost: shop\r\nx-api-key: ${shopKey}\r\n\r\n`;

/** Starts a deployment whose entry daemon has an open connection to a server. */
async function startWithConnection(t: ExecutionContext) {
	const deployment = await startDeployment();
	t.teardown(async () => deployment.stop());
	const answer = await request(`${deployment.url}/check/1`, {headers: {'x-api-key': shopKey}});
	await answer.body.dump();
	const {observations, behaviour} = deployment.backends[0];
	const {hostname, port} = new URL(deployment.url);
	const connectCaller = async (): Promise<Socket> => {
		const socket = connect(Number(port), hostname);
		await once(socket, 'connect');
		await sleep(50);
		return socket;
	};

	return {observations, behaviour, connectCaller};
}

test.serial('a request whose caller left before it was read is not sent to a server', async t => {
	// Guards against work for callers that gave up while the VM was short of processor time.
	const {observations, connectCaller} = await startWithConnection(t);
	const runsBefore = observations.runs;
	const caller = await connectCaller();
	// What is written in one turn of the event loop reaches the daemon at the same time, as after a stall of its VM.
	caller.write(checkText);
	caller.destroy();
	await sleep(settleMs);
	t.is(observations.runs, runsBefore);
});

test.serial('a request that waits behind another one on its connection is cancelled when the caller leaves', async t => {
	// Guards against a server that works on a pipelined request for a caller that has left.
	const {observations, behaviour, connectCaller} = await startWithConnection(t);
	behaviour.serviceMs = 5000;
	const runsBefore = observations.runs;
	const caller = await connectCaller();
	caller.write(checkText + checkText);
	while (observations.runs < runsBefore + 2) {
		await sleep(10);
	}

	caller.destroy();
	await sleep(settleMs);
	t.is(observations.cancelled, 2);
});
