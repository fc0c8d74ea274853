// Requests that were sent ahead on kept connections while their gateway is stopped with SIGTERM.
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {setTimeout as sleep} from 'node:timers/promises';
import {ClientConnection, requestHead} from '../stand-ins-2/client.js';
import {hasTrouble, runCase} from '../stand-ins-2/deployment.js';
import {BackendServer} from '../stand-ins-2/server.js';
import {configurationObject, serverObject} from '../stand-ins-2/store.js';

const clientCount = 6;
/** Work of the requests that each client sends one behind the other, in milliseconds. */
const workMs = [600, 800, 1000];
/** Time from the requests to SIGTERM, in milliseconds. */
const stopAfterMs = 300;
const deadlineMs = 5000;

await runCase(path.dirname(fileURLToPath(import.meta.url)), async (deployment, recorder) => {
	const ran = new Set();
	const finished = new Set();
	const server = new BackendServer('i-1', {
		async onRequest({id, path: target}, respond) {
			ran.add(id);
			recorder.write({event: 'server-began', id});
			await sleep(Number(/ms=(\d+)/.exec(target)[1]));
			if (respond(200, `whole-${id}`)) {
				finished.add(id);
			}

			recorder.write({event: 'server-finished', id, isAnswerWritten: finished.has(id)});
		},
	});
	deployment.store.set('config', 'main', configurationObject({version: 7, timeoutS: 5}));
	deployment.store.set('servers', 'i-1', serverObject(await server.listen(), 'andes-norte', 64));
	await deployment.start();
	const [gateway] = deployment.gateways;

	const clients = Array.from({length: clientCount}, () => new ClientConnection(gateway.entryPort));
	const get = (client, id, ms) => {
		recorder.write({event: 'sent', id});
		client.write(requestHead({
			method: 'GET', path: `/safe/look?ms=${ms}`, id, deadlineMs,
		}));
	};

	await Promise.all(clients.map(async (client, index) => {
		await client.opened();
		get(client, `first-${index}`, 20);
		await client.waitFor(1, deadlineMs);
	}));
	for (const [index, client] of clients.entries()) {
		for (const [position, ms] of workMs.entries()) {
			get(client, `ahead-${index}-${position}`, ms);
		}
	}

	await sleep(stopAfterMs);
	if (hasTrouble) {
		gateway.signal('SIGTERM');
	}

	let lost = 0;
	await Promise.all(clients.map(async (client, index) => {
		await client.waitFor(1 + workMs.length, deadlineMs);
		for (const position of workMs.keys()) {
			const id = `ahead-${index}-${position}`;
			const response = client.responses.find(response => response.id === id);
			const isWhole = response?.status === 200 && response.body === `whole-${id}`;
			lost += ran.has(id) && response === undefined ? 1 : 0;
			recorder.write({
				event: 'outcome', id, status: response?.status, isWhole, isClosing: response?.isClosing, hasRun: ran.has(id), isConnectionClosed: client.isClosed,
			});
		}
	}));
	// Servers that still work then have not been interrupted by the end of the case.
	await sleep(Math.max(...workMs));
	for (const client of clients) {
		client.close();
	}

	server.close();
	recorder.write({
		event: 'count', requests: clientCount * workMs.length, ran: ran.size - clientCount, lost,
	});
	return lost === 0;
});
