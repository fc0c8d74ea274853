import {Buffer} from 'node:buffer';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {BackendServer} from '../stand-ins/server.js';
import {Client} from '../stand-ins/client.js';
import {Gateway} from '../stand-ins/gateway.js';
import {runCase} from '../stand-ins/record.js';
import {Store} from '../stand-ins/store.js';

const zones = {'addis-a': 'addis', 'tigray-a': 'tigray'};
const host = 'ficu95.example';
const key = 'xd9dnn2ctnfzs989anu6';
/** Clients that hold a kept connection with an order at a sound server. */
const orderClients = 8;
/** Part of its requests that a grey server fails. */
const greyShare = 0.45;
/** Pace of the body that has no end: a piece every so many milliseconds. */
const pieceMs = 20;
/** Time for which orders are sent, and the pause of a client between two, in milliseconds. */
const playedMs = 5000;
const pauseMs = 50;
/** Errors by which a client sees that its connection was closed. */
const closedCodes = new Set(['ECONNRESET', 'EPIPE']);
const piece = Buffer.alloc(16_384, 'x');

const route = {
	timeoutS: 4, targetLatencyS: 1, priority: 1, maxAttempts: 2, sessionAffinity: true,
};
const service = {
	healthPath: '/health', maxConnections: 330, coldStartS: 3, coldPerS: 6.8,
};
const configuration = {
	version: 'r1',
	services: [{name: 'booking', ...service}, {name: 'catalogue', ...service}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutS: 10, idleTimeoutS: 15,
	},
	tenants: [{
		name: 'huka270', apiKeys: [key], ratePerS: 200, burst: 200,
	}],
	hosts: [{
		host, paths: [
			{
				...route, name: 'photo-browse', pathPrefix: '/photo/', kind: 'safe', service: 'catalogue', timeoutS: 2,
			},
			{
				...route, name: 'reserve-hire', pathPrefix: '/hire/', kind: 'unsafe', service: 'booking',
			},
		],
	}],
};

/** Two servers in trouble, chosen when it begins: `grey` fails a part of its requests, and the one that gets the first of them again sends bodies that don't end. */
class Trouble {
	#failed = new Set();
	#count = 0;
	#endless;

	constructor(grey) {
		this.grey = grey;
	}

	async answer(request, response, server) {
		const id = request.headers['x-request-id'];
		if (server.id === this.grey && (this.#count++ * greyShare) % 1 < greyShare) {
			this.#failed.add(id);
			request.resume();
			response.writeHead(500, {...server.headers(request), 'content-length': 0}).end();
			server.record.add('server-answered', {server: server.id, id, status: 500});
			return true;
		}

		if (this.#endless === undefined && this.#failed.has(id)) {
			this.#endless = server.id;
		}

		if (server.id !== this.#endless) {
			return false;
		}

		request.resume();
		response.writeHead(200, server.headers(request));
		server.record.add('server-streams', {server: server.id, id});
		while (!response.destroyed) {
			response.write(piece);
			await sleep(pieceMs);
		}

		server.record.add('server-closed', {server: server.id, id});
		return true;
	}
}

await runCase(path.dirname(new URL(import.meta.url).pathname), async ({record, directory, isTroubled, atEnd}) => {
	const store = new Store();
	await store.listen();
	atEnd(() => store.close());
	store.set('config', 'main', configuration);
	let trouble;
	for (const [name, count, workMs] of [['booking', 12, 840], ['catalogue', 14, 300]]) {
		for (let index = 0; index < count; index++) {
			const server = new BackendServer({
				id: `i-${name}-${index}`, service: name, zone: 'addis-a', slots: 8, workMs, record, store,
			});
			server.answer = async (request, response) => trouble !== undefined && name === 'catalogue' && trouble.answer(request, response, server);
			await server.start();
			atEnd(() => server.close());
		}
	}

	const machines = await Gateway.layOut([{name: 'front-addis-a-1', zone: 'addis-a'}, {name: 'front-tigray-a-1', zone: 'tigray-a'}]);
	const gateways = machines.map(machine => new Gateway({
		machine, machines, zones, storeAddress: store.address, directory, record,
	}));
	for (const gateway of gateways) {
		gateway.start();
	}

	atEnd(async () => Promise.all(gateways.map(async gateway => gateway.close())));

	await Promise.all(gateways.map(async gateway => gateway.waitUntilReady()));
	await sleep(3500);

	const address = machines[0].listen.front;
	const createClient = name => new Client({
		name, address, host, key, record,
	});
	const orders = Array.from({length: orderClients}, (_, index) => createClient(`order-${index}`));
	const photo = createClient('photo');
	atEnd(() => {
		for (const client of [...orders, photo]) {
			client.close();
		}
	});
	const endsAtMs = performance.now() + playedMs;
	const browse = async () => photo.send({path: '/photo/1', deadlineMs: 8000, headers: {cookie: 'X-Affinity-Key=1'}});
	const {id: firstPhoto} = await browse();
	if (isTroubled) {
		trouble = new Trouble(record.of('run').find(({id}) => id === firstPhoto).server);
	}

	const photoDone = browse();
	const sendOrders = async client => {
		const results = [];
		while (performance.now() < endsAtMs) {
			results.push(await client.send({
				method: 'POST', path: '/hire/1', deadlineMs: 4000, body: 'figures=3',
			}));
			await sleep(pauseMs);
		}

		return results;
	};

	const answers = await Promise.all(orders.map(async client => sendOrders(client)));
	const results = answers.flat();
	await photoDone;
	await sleep(500);
	const ran = new Set(record.of('run').map(({id}) => id));
	// Only connections that were closed or reset from the other end count, not a client that gave up.
	const lost = results.filter(({id, error, isReused}) => closedCodes.has(error) && isReused && ran.has(id));
	const ends = gateways.flatMap(({machine, ends}) => ends.map(end => `${machine.name} ended by itself with ${end}`));
	const isBroken = lost.length > 3;
	record.add('result', {orders: results.length, lost: lost.length, ends});
	return isBroken ? [`LOST: ${lost.length} orders on kept connections were passed on to sound servers and ended without an answer; more than three break the rule`, ...ends] : [];
});
