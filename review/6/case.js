// Uploads that their server answers before it has read them whole, and the next request on each of their connections.
import {Buffer} from 'node:buffer';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {setTimeout as sleep} from 'node:timers/promises';
import {ClientConnection, requestHead} from '../stand-ins-2/client.js';
import {hasTrouble, runCase} from '../stand-ins-2/deployment.js';
import {BackendServer} from '../stand-ins-2/server.js';
import {configurationObject, serverObject} from '../stand-ins-2/store.js';

const clientCount = 12;
/** Longest upload of the pages' `receta-foto`. */
const uploadBytes = 360_000;
const pieceBytes = 20_000;
const pieceGapMs = 25;
const timeoutS = 3;
/** Time after the route's timeout by which an answer is due. */
const graceMs = 500;
/** Time budgets of the clients, longer than the route's timeout. */
const deadlineMs = 6000;

await runCase(path.dirname(fileURLToPath(import.meta.url)), async (deployment, recorder) => {
	const answeredEarly = new Set();
	const server = new BackendServer('i-1', {
		onHead({id, path: target}, respond) {
			// One upload in two is accepted and one in two rejected; both answers are the server's own.
			if (hasTrouble && target.startsWith('/upload/')) {
				answeredEarly.add(id);
				recorder.write({event: 'server-answered-early', id});
				respond(Number(id.slice('upload-'.length)) % 2 === 0 ? 200 : 413, 'done');
			}
		},
		onRequest({id}, respond) {
			recorder.write({event: 'server-read', id});
			if (!answeredEarly.has(id)) {
				respond(200, 'done');
			}
		},
	});
	deployment.store.set('config', 'main', configurationObject({version: 7, timeoutS}));
	deployment.store.set('servers', 'i-1', serverObject(await server.listen(), 'addis-a', 64));
	await deployment.start();
	const [gateway] = deployment.gateways;

	const play = async index => {
		const client = new ClientConnection(gateway.entryPort);
		await client.opened();
		const uploadId = `upload-${index}`;
		client.write(requestHead({
			method: 'POST', path: '/upload/scan', id: uploadId, deadlineMs, lengthBytes: uploadBytes,
		}));
		for (let sentBytes = 0; sentBytes < uploadBytes; sentBytes += pieceBytes) {
			client.write(Buffer.alloc(pieceBytes, 'b'));
			await sleep(pieceGapMs);
		}

		if (!await client.waitFor(1, deadlineMs)) {
			recorder.write({event: 'upload-unanswered', id: uploadId});
			client.close();
			return undefined;
		}

		recorder.write({event: 'upload-answered', id: uploadId, status: client.responses[0].status});
		await sleep(200);
		const id = `order-${index}`;
		const body = 'order';
		client.write(requestHead({
			method: 'POST', path: '/unsafe/order', id, deadlineMs, lengthBytes: body.length,
		}) + body);
		recorder.write({event: 'sent', id});
		const isAnsweredAtTimeout = await client.waitFor(2, timeoutS * 1000);
		const isAnswered = await client.waitFor(2, graceMs);
		recorder.write({
			event: 'order', id, status: client.responses[1]?.status, isAnsweredAtTimeout, isAnswered, isConnectionClosed: client.isClosed,
		});
		if (!isAnswered) {
			const isAnsweredLater = await client.waitFor(2, deadlineMs - (timeoutS * 1000) - graceMs);
			recorder.write({
				event: 'order-at-deadline', id, isAnswered: isAnsweredLater, isConnectionClosed: client.isClosed,
			});
		}

		client.close();
		return {isAnsweredAtTimeout, isAnswered};
	};

	const orders = await Promise.all(Array.from({length: clientCount}, async (_, index) => {
		await sleep(index * 100);
		return play(index);
	}));
	const sent = orders.filter(order => order !== undefined);
	if (sent.length < clientCount) {
		throw new Error(`only ${sent.length} uploads were answered`);
	}

	const lateAtTimeout = sent.filter(({isAnsweredAtTimeout}) => !isAnsweredAtTimeout).length;
	const unanswered = sent.filter(({isAnswered}) => !isAnswered).length;
	server.close();
	recorder.write({
		event: 'count', orders: sent.length, lateAtTimeout, unanswered,
	});
	return unanswered * 2 <= lateAtTimeout;
});
