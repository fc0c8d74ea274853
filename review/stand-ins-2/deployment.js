// A small deployment on loopback: gateways started with the command of the deploy file, and what a case records about them.
import {spawn} from 'node:child_process';
import {
	closeSync, existsSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {once} from 'node:events';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {PlatformStore} from './store.js';

/** Whether the disruption of the case is to happen. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Bounds of the settings, those of condor-recoge-grown. */
const bounds = {
	graceS: 6,
	// eslint-disable-next-line camelcase
	ttl_max_s: 5,
	retryBudgetRatio: 0.2,
	retryBudgetSlack: 194,
	budgetWindowS: 10,
	coldOver: 1.5,
	coldSlack: 8,
	quotaOver: 0.1,
	quotaWindowS: 5,
	quotaSlack: 20,
	shiftMost: 0.15,
	configS: 3,
	drainS: 3,
	evacuateS: 5,
};
const zones = {'andes-norte': 'andes', 'litoral-a': 'litoral'};
/** Time in which nothing is disturbed before the traffic of a case; `stableWindowS` is 4. */
const calmMs = 4500;
const startTimeoutMs = 15_000;
const firstPort = 18_000;
const portCount = 12_000;

/** Command line and settings template of the deploy file's only role. */
function readDeployFile() {
	const text = readFileSync('deploy/system.toml', 'utf8');
	const valueOf = name => new RegExp(String.raw`^${name} = "(.*)"$`, 'm').exec(text)[1];
	return {command: valueOf('run').split(' '), template: readFileSync(valueOf('template'), 'utf8')};
}

/** Fills the placeholders `{{a.b}}` and `{{a.b|json}}` of a settings template. */
function fillTemplate(template, fields) {
	return template.replaceAll(/{{([\w.]+)(\|json)?}}/g, (_match, name, isJson) => {
		let value = fields;
		for (const part of name.split('.')) {
			value = value?.[part];
		}

		return isJson ? JSON.stringify(value ?? null) : String(value ?? '');
	});
}

/** A port that is free; outside of the range from which systems take ports for outgoing connections. */
async function freePort() {
	for (;;) {
		const port = firstPort + Math.floor(Math.random() * portCount);
		const server = createServer();
		server.listen(port, '127.0.0.1');
		try {
			await once(server, 'listening');
		} catch {
			continue;
		}

		server.close();
		await once(server, 'close');
		return port;
	}
}

/** A gateway process. */
class Gateway {
	constructor(deployment, name, ports) {
		Object.assign(this, {deployment, name, ports});
	}

	get entryPort() {
		return this.ports[0];
	}

	/** Whether the process has ended. */
	get hasEnded() {
		return this.child.exitCode !== null || this.child.signalCode !== null;
	}

	start() {
		const {command, template} = readDeployFile();
		const {directory, store, recorder, seeds} = this.deployment;
		const zone = this.name.slice('front-'.length, -'-1'.length);
		const at = index => `127.0.0.1:${this.ports[index]}`;
		const settingsFile = path.join(directory, `${this.name}.yaml`);
		writeFileSync(settingsFile, fillTemplate(template, {
			nodeName: this.name,
			zone,
			region: zones[zone],
			zones,
			ip: '127.0.0.1',
			listen: {
				front: at(0), ready: at(1), directory: at(2), control: at(3),
			},
			internalPortRange: [this.ports[4], this.ports[5]],
			seeds,
			platform: {address: store.address},
			bounds,
		}));
		const log = openSync(path.join(directory, `${this.name}.log`), 'a');
		const {PATH, HOME} = process.env;
		this.child = spawn(command[0], command.slice(1), {stdio: ['ignore', log, log], env: {PATH, HOME, FESCUEWICK_BOOT: settingsFile}});
		closeSync(log);
		recorder.write({event: 'gateway-started', name: this.name, pid: this.child.pid});
		this.child.once('exit', (code, signal) => {
			recorder.write({
				event: 'gateway-ended', name: this.name, code, signal,
			});
		});
	}

	async isReady() {
		return new Promise(resolve => {
			get({
				host: '127.0.0.1', port: this.ports[1], path: '/ready', agent: false, timeout: 1000,
			}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			}).on('error', () => {
				resolve(false);
			});
		});
	}

	async waitUntilReady() {
		const endMs = Date.now() + startTimeoutMs;
		while (!await this.isReady()) {
			if (Date.now() > endMs || this.hasEnded) {
				throw new Error(`${this.name} does not get ready`);
			}

			await sleep(50);
		}
	}

	signal(name) {
		this.deployment.recorder.write({event: 'signal', name: this.name, signal: name});
		this.child.kill(name);
	}
}

/** A store and gateways, in a temporary folder. */
export class Deployment {
	directory = mkdtempSync(path.join(tmpdir(), 'fescuewick-review-'));
	store = new PlatformStore();
	gateways = [];
	seeds = [];

	constructor(recorder) {
		this.recorder = recorder;
	}

	/** Starts the store and the gateways, one in each zone, and waits until they are in touch. */
	async start({gatewayCount = 2} = {}) {
		if (!existsSync('target')) {
			throw new Error('the build line of deploy/system.toml has not been run');
		}

		await this.store.listen();
		for (const zone of Object.keys(zones).slice(0, gatewayCount)) {
			const ports = [];
			while (ports.length < 6) {
				const port = await freePort();
				if (!ports.includes(port) && !this.gateways.some(gateway => gateway.ports.includes(port))) {
					ports.push(port);
				}
			}

			this.gateways.push(new Gateway(this, `front-${zone}-1`, ports));
			this.seeds.push(`127.0.0.1:${ports[3]}`);
		}

		for (const gateway of this.gateways) {
			gateway.start();
		}

		for (const gateway of this.gateways) {
			await gateway.waitUntilReady();
		}

		await sleep(calmMs);
	}

	/** Ends all gateways and removes the temporary folder. */
	async end() {
		for (const gateway of this.gateways) {
			if (gateway.child !== undefined && !gateway.hasEnded) {
				gateway.child.kill('SIGKILL');
				await once(gateway.child, 'exit');
			}
		}

		this.store.close();
		rmSync(this.directory, {recursive: true, force: true});
	}
}

/** Writes what happens in a case to a file, a line each. */
class Recorder {
	#lines = [];
	#startMs = Date.now();

	constructor(file) {
		this.file = file;
	}

	write(fields) {
		this.#lines.push(JSON.stringify({ms: Date.now() - this.#startMs, ...fields}));
	}

	save() {
		writeFileSync(this.file, `${this.#lines.join('\n')}\n`);
	}
}

/** Runs a case: `play` gets the deployment and returns whether the rule held. The process exits with 0 if it held, 1 if it was broken and 2 if the case could not run. */
export async function runCase(folder, play) {
	const recorder = new Recorder(path.join(folder, 'record.txt'));
	recorder.write({event: 'case', disruption: hasTrouble});
	const deployment = new Deployment(recorder);
	let exitCode = 2;
	process.once('SIGTERM', () => {
		for (const {child} of deployment.gateways) {
			child?.kill('SIGKILL');
		}

		recorder.write({event: 'interrupted'});
		recorder.save();
		process.exit(2);
	});
	try {
		exitCode = await play(deployment, recorder) ? 0 : 1;
	} catch (error) {
		recorder.write({event: 'case-failed', reason: error.stack});
	}

	await deployment.end();
	const result = ['the rule held', 'the rule was broken', 'the case could not run'][exitCode];
	recorder.write({event: 'result', exitCode, result});
	recorder.save();
	process.stdout.write(`${result}\n`);
	// eslint-disable-next-line unicorn/no-process-exit
	process.exit(exitCode);
}
