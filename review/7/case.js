// A gateway that follows a large configuration through storms of changes, while clients have requests at it.
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {setTimeout as sleep} from 'node:timers/promises';
import {ClientConnection, requestHead} from '../stand-ins-2/client.js';
import {hasTrouble, runCase} from '../stand-ins-2/deployment.js';
import {BackendServer} from '../stand-ins-2/server.js';
import {configurationObject, serverObject} from '../stand-ins-2/store.js';

/** Longest value of the store, in bytes. */
const valueBytes = 1_048_576;
/** The configuration grows by this number of routes at a time, as `big_config` does. */
const growthRoutes = 1592;
const growthSteps = 3;
const growthGapMs = 1000;
/** A storm: a change each `stormGapMs` for `stormMs`. */
const stormMs = 4000;
const stormGapMs = 330;
/** Pause between two storms. */
const calmMs = 2000;
const trafficMs = 75_000;
const clientCount = 24;
/** Work of a request, time budget of the clients and timeout of the route, like those of the slowest requests of a small deployment. */
const workMs = 3000;
const deadlineMs = 12_000;
const timeoutS = 12;

await runCase(path.dirname(fileURLToPath(import.meta.url)), async (deployment, recorder) => {
	const ran = new Set();
	const server = new BackendServer('i-1', {
		async onRequest({id}, respond) {
			ran.add(id);
			await sleep(workMs);
			respond(200, `whole-${id}`);
		},
	});
	let version = 7;
	let idleRoutes = 0;
	const change = () => {
		version++;
		const configuration = configurationObject({version, timeoutS, idleRoutes});
		const configurationBytes = JSON.stringify(configuration).length;
		if (configurationBytes > valueBytes) {
			throw new Error(`the configuration has ${configurationBytes} bytes`);
		}

		deployment.store.set('config', 'main', configuration);
		return configurationBytes;
	};

	change();
	deployment.store.set('servers', 'i-1', serverObject(await server.listen(), 'andes-norte', 64));
	await deployment.start();
	const [gateway] = deployment.gateways;
	for (let step = 0; step < growthSteps; step++) {
		idleRoutes += growthRoutes;
		const configurationBytes = change();
		recorder.write({
			event: 'configuration-grew', version, idleRoutes, configurationBytes,
		});
		await sleep(growthGapMs);
	}

	const firstVersion = version;
	const endMs = Date.now() + trafficMs;
	const isOver = () => Date.now() > endMs || gateway.hasEnded;

	const storms = async () => {
		while (!isOver()) {
			for (const stormEndMs = Date.now() + stormMs; Date.now() < stormEndMs && !isOver();) {
				change();
				await sleep(stormGapMs);
			}

			recorder.write({event: 'storm-ended', version});
			await sleep(calmMs);
		}
	};

	let sent = 0;
	let answered = 0;
	let lost = 0;
	const load = async index => {
		const client = new ClientConnection(gateway.entryPort);
		await client.opened();
		// The clients spread their requests over the time of one.
		await sleep(index * workMs / clientCount);
		for (let count = 0; !isOver() && !client.isClosed; count++) {
			const id = `look-${index}-${count}`;
			sent++;
			client.write(requestHead({
				method: 'GET', path: '/safe/look', id, deadlineMs,
			}));
			if (await client.waitFor(count + 1, deadlineMs)) {
				answered++;
			} else if (client.isClosed && ran.has(id)) {
				lost++;
				recorder.write({event: 'connection-closed-without-answer', id});
			} else {
				recorder.write({event: 'no-answer', id, isConnectionClosed: client.isClosed});
				break;
			}

			await sleep(20);
		}

		client.close();
	};

	await Promise.all([...(hasTrouble ? [storms()] : []), ...Array.from({length: clientCount}, async (_, index) => load(index))]);
	server.close();
	recorder.write({
		event: 'count', sent, answered, lost, changes: version - firstVersion, gatewayEnded: gateway.hasEnded, code: gateway.child.exitCode, signal: gateway.child.signalCode,
	});
	return lost <= 3;
});
