/** Starts a small deployment: a store, servers and VMs of one region, and writes what a case records. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {startServer} from './server.js';
import {startStore} from './store.js';
import {planVm, Vm} from './vm.js';

/** The host of all routes. */
export const host = 'desk.example';
const region = 'andes';
const zones = ['andes-norte', 'andes-valle'];
/** Time from the start of the VMs to the first request, in milliseconds; longer than stableWindowS. */
const settleMs = 5000;
/** Longest time that a case may take, in milliseconds. */
const maxCaseMs = 115_000;

/** Exit codes of a case. */
export const ExitCode = {held: 0, broken: 1, notRun: 2};

/** A route as it stands in a configuration. */
export function route({name, kind, service, timeoutS, targetLatencyS = 1, maxAttempts = 2}) {
	return {
		name, pathPrefix: `/${name}/`, kind, service, timeoutS, targetLatencyS, priority: 1, maxAttempts,
	};
}

/** A running deployment; servers are given as the options of the stand-in. */
export class Deployment {
	vms = [];
	servers = [];
	lines = [];
	#folder = mkdtempSync(path.join(tmpdir(), 'case-'));
	#version = 0;

	async start({routes, services, servers, vmCount}) {
		this.store = await startStore();
		this.configuration = {
			services: services.map(name => ({
				name, healthPath: '/health', maxConnections: 330, coldStartS: 0, coldPerS: 0,
			})),
			limits: {
				maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutS: 3, idleTimeoutS: 15,
			},
			hosts: [{host, paths: routes}],
		};
		this.publish();
		for (const options of servers) {
			await this.addServer(options);
		}

		const plans = [];
		for (let index = 0; index < vmCount; index++) {
			plans.push(await planVm({name: `front-${index + 1}`, zone: zones[index % zones.length], region}));
		}

		const zoneRegions = Object.fromEntries(zones.map(zone => [zone, region]));
		this.vms = plans.map(plan => new Vm(plan, {
			zones: zoneRegions, seeds: plans.slice(0, 3).map(({control}) => control), storeAddress: this.store.address, folder: this.#folder,
		}));
		await Promise.all(this.vms.map(vm => vm.start()));
		await sleep(settleMs);
	}

	/** Writes the configuration with the next version. */
	publish(change = {}) {
		this.#version++;
		Object.assign(this.configuration, change);
		this.store.set('config', 'main', {...this.configuration, version: `r${this.#version}`});
	}

	async addServer(options) {
		const server = await startServer({zone: zones[this.servers.length % zones.length], ...options});
		this.servers.push(server);
		this.store.set('servers', server.id, server.entry());
		return server;
	}

	record(line) {
		this.lines.push(line);
	}

	async end() {
		await Promise.all(this.vms.map(vm => vm.end()));
		for (const server of this.servers) {
			server.close();
		}

		this.store?.close();
		if (process.env.KEEP_LOGS === undefined) {
			rmSync(this.#folder, {recursive: true});
		} else {
			console.log(this.#folder);
		}
	}
}

/** Runs a case: `play` returns whether the rule was broken. Writes `record.txt` into the folder of the case and ends the process. */
export async function runCase(folder, play) {
	const deployment = new Deployment();
	let code = ExitCode.notRun;
	const stopped = new Promise((resolve, reject) => {
		const stop = reason => {
			reject(new Error(reason));
		};

		setTimeout(stop, maxCaseMs, 'it took too long');
		process.once('SIGTERM', stop);
		process.once('SIGINT', stop);
	});
	try {
		code = await Promise.race([play(deployment), stopped]) ? ExitCode.broken : ExitCode.held;
	} catch (error) {
		deployment.record(`the case could not run: ${error.stack}`);
	} finally {
		await deployment.end();
	}

	deployment.record(`exit code ${code}`);
	writeFileSync(path.join(folder, 'record.txt'), `${deployment.lines.join('\n')}\n`);
	console.log(deployment.lines.slice(-12).join('\n'));
	// Sockets of clients may still be open.
	// eslint-disable-next-line unicorn/no-process-exit
	process.exit(code);
}
