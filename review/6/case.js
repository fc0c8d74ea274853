// Uploads that their server answers before it has read them whole, and the next request on each of their connections.
import {Buffer} from 'node:buffer';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {setTimeout as sleep} from 'node:timers/promises';
import {ClientConnection, requestHead} from '../stand-ins-2/client.js';
import {hasTrouble, runCase} from '../stand-ins-2/deployment.js';
import {BackendServer} from '../stand-ins-2/server.js';
import {configurationObject, serverObject} from '../stand-ins-2/store.js';

const clientCount = 60;
const clientGapMs = 90;
const serverCount = 10;
/** Servers that answer some uploads early: a share of 0.7. */
const earlyServerCount = 7;
/** Of each five uploads at such a server, the third and the fifth are answered early: a share of at most 0.4. */
const earlyTurns = new Set([2, 4]);
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
	const createServer = index => {
		let uploads = 0;
		return new BackendServer(`i-${index}`, {
			onHead({id, path: target}, respond) {
				if (!hasTrouble || !target.startsWith('/upload/') || index >= earlyServerCount) {
					return;
				}

				const turn = uploads % 5;
				uploads++;
				if (earlyTurns.has(turn)) {
					answeredEarly.add(id);
					recorder.write({event: 'server-answered-early', id, server: index});
					// One of these uploads in two is accepted and one in two rejected; both answers are the server's own.
					respond(turn === 2 ? 200 : 413, 'done');
				}
			},
			onRequest({id}, respond) {
				recorder.write({event: 'server-read', id, server: index});
				if (!answeredEarly.has(id)) {
					respond(200, 'done');
				}
			},
		});
	};

	const servers = Array.from({length: serverCount}, (_, index) => createServer(index));
	deployment.store.set('config', 'main', configurationObject({version: 7, timeoutS}));
	for (const server of servers) {
		deployment.store.set('servers', server.id, serverObject(await server.listen(), 'andes-norte', 9));
	}

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
		await sleep(index * clientGapMs);
		return play(index);
	}));
	const sent = orders.filter(order => order !== undefined);
	if (sent.length < clientCount) {
		throw new Error(`only ${sent.length} uploads were answered`);
	}

	const lateAtTimeout = sent.filter(({isAnsweredAtTimeout}) => !isAnsweredAtTimeout).length;
	const unanswered = sent.filter(({isAnswered}) => !isAnswered).length;
	for (const server of servers) {
		server.close();
	}

	recorder.write({
		event: 'count', uploads: sent.length, answeredEarly: answeredEarly.size, orders: sent.length, lateAtTimeout, unanswered,
	});
	return unanswered * 2 <= lateAtTimeout;
});
