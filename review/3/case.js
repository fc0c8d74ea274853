import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {BackendServer} from '../stand-ins/server.js';
import {Client} from '../stand-ins/client.js';
import {Gateway} from '../stand-ins/gateway.js';
import {Proxy} from '../stand-ins/proxy.js';
import {runCase} from '../stand-ins/record.js';
import {Store} from '../stand-ins/store.js';

const zones = {
	'addis-a': 'addis', 'addis-b': 'addis', 'tigray-a': 'tigray', 'tigray-b': 'tigray', 'oromia-a': 'oromia', 'oromia-b': 'oromia',
};
const host = 'ficu95.example';
const keptKey = 'xd9dnn2ctnfzs989anu6';
const withdrawnKey = 'wsjnbanfqasnmgkcuyj8';
/** Bounds of the pages, in milliseconds. */
const configMs = 2500;
const stableWindowMs = 3000;
/** Time from the change of the configuration to the silence of the open connections, in milliseconds. */
const silentAfterMs = 500;
/** Time from the silence to the withdrawal of the key, in milliseconds; longer than `stableWindowS`. */
const withdrawAfterMs = 3200;
/** Time for which the withdrawn key is tried, from the end of `configS` on, and the pause between two tries of a client, in milliseconds. */
const triedMs = 6000;
const tryPauseMs = 100;

function configuration(version, apiKeys) {
	return {
		version: `r${version}`,
		services: [{
			name: 'booking', healthPath: '/health', maxConnections: 330, coldStartS: 3, coldPerS: 6.8,
		}],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutS: 3, idleTimeoutS: 15,
		},
		tenants: [{
			name: 'huka270', priority: 1, apiKeys, ratePerS: 127, burst: 127, homeRegions: [],
		}],
		hosts: [{
			host, paths: [{
				name: 'r-u6sz9fr',
				pathPrefix: '/pufi791/',
				kind: 'unsafe',
				timeoutS: 4,
				targetLatencyS: 0.6,
				priority: 1,
				maxAttempts: 2,
				service: 'booking',
				public: false,
				sessionAffinity: true,
				homeRegions: [],
			}],
		}],
	};
}

await runCase(path.dirname(new URL(import.meta.url).pathname), async ({record, directory, isTroubled, atEnd}) => {
	const store = new Store();
	await store.listen();
	atEnd(() => store.close());
	store.set('config', 'main', configuration(1, [keptKey, withdrawnKey]));
	for (const [index, zone] of Object.keys(zones).entries()) {
		const server = new BackendServer({
			id: `i-${index}`, service: 'booking', zone, slots: 8, workMs: 100, record, store,
		});
		await server.start();
		atEnd(() => server.close());
	}

	const machines = await Gateway.layOut(Object.keys(zones).map(zone => ({name: `front-${zone}-1`, zone})));
	const proxies = machines.map(() => new Proxy(store.address));
	await Promise.all(proxies.map(async proxy => proxy.listen()));
	atEnd(() => {
		for (const proxy of proxies) {
			proxy.close();
		}
	});
	const gateways = machines.map((machine, index) => new Gateway({
		machine, machines, zones, storeAddress: proxies[index].address, directory, record,
	}));
	for (const gateway of gateways) {
		gateway.start();
	}

	atEnd(async () => Promise.all(gateways.map(async gateway => gateway.close())));
	await Promise.all(gateways.map(async gateway => gateway.waitUntilReady()));
	await sleep(4000);

	store.set('config', 'main', configuration(2, [keptKey, withdrawnKey, 'a-new-key']));
	record.add('operator', {version: 'r2'});
	await sleep(silentAfterMs);
	if (isTroubled) {
		record.add('silent', {connections: proxies.reduce((sum, proxy) => sum + proxy.silence(), 0)});
	}

	const silentAtMs = performance.now();
	await sleep(withdrawAfterMs);
	store.set('config', 'main', configuration(3, [keptKey, 'a-new-key']));
	const acknowledgedAtMs = performance.now();
	record.add('operator', {version: 'r3', withdrawn: withdrawnKey});
	await sleep(configMs);

	const tries = await Promise.all(machines.map(async machine => {
		const client = new Client({
			name: machine.name, address: machine.listen.front, host, key: withdrawnKey, record,
		});
		atEnd(() => client.close());
		const results = [];
		while (performance.now() < acknowledgedAtMs + configMs + triedMs) {
			const sentAfterMs = performance.now() - acknowledgedAtMs;
			results.push({
				...await client.send({
					method: 'POST', path: '/pufi791/1', deadlineMs: 4000, body: 'figures=3', headers: {cookie: 'X-Affinity-Key=1'},
				}), machine: machine.name, sentAfterMs,
			});
			await sleep(tryPauseMs);
		}

		return results;
	}));
	const ran = new Set(record.of('run').map(({id}) => id));
	const late = tries.flat().filter(({id, sentAfterMs}) => ran.has(id) && sentAfterMs > configMs && acknowledgedAtMs - silentAtMs > stableWindowMs);
	if (tries.some(results => results.at(-1).status !== 401)) {
		record.add('remark', {text: 'the key still worked at the end of the tries at some machine'});
	}

	const latestMs = Math.round(Math.max(...late.map(({sentAfterMs}) => sentAfterMs)));
	const through = new Set(late.map(({machine}) => machine)).size;
	return late.length === 0
		? []
		: [
			`CONFIG: ${late.length} orders with a withdrawn key, sent ${configMs} ms to ${latestMs} ms after the acknowledgement of its withdrawal, ran at servers`,
			`they came through ${through} of ${machines.length} machines`,
		];
});
