import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	closeSync, openSync, readFileSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../../', import.meta.url));

/** Pause before the platform starts a process that has ended again, in milliseconds. */
const restartPauseMs = 500;
/** Time limit for a start, in milliseconds. */
const startTimeoutMs = 15_000;

/** Bounds of the small deployment, as the settings of the platform list them. */
const boundTexts = [
	'graceS=6', 'ttl_max_s=5', 'retryBudgetRatio=0.2', 'retryBudgetSlack=56', 'budgetWindowS=10', 'coldOver=1.5', 'coldSlack=5', 'quotaOver=0.1', 'quotaWindowS=5', 'quotaSlack=20', 'shiftMost=0.15',
];
export const bounds = Object.fromEntries(boundTexts.map(text => text.split('=')));

/** Returns free ports on an address. */
async function freePorts(host, count) {
	const servers = Array.from({length: count}, () => createServer().listen(0, host));
	await Promise.all(servers.map(server => once(server, 'listening')));
	const ports = servers.map(server => server.address().port);
	await Promise.all(servers.map(server => once(server.close(), 'close')));
	return ports;
}

/** A value of the settings by its dotted name. */
function valueOf(settings, name) {
	let value = settings;
	for (const part of name.split('.')) {
		value = value?.[part];
	}

	return value;
}

/** Fills in the placeholders of a settings template; the template of the project has no sections. */
function render(template, settings) {
	return template.replaceAll(/{{([\w.]+)(\|json)?}}/g, (_match, name, json) => {
		const value = valueOf(settings, name);
		return json === undefined ? String(value) : JSON.stringify(value);
	});
}

/** The program of the deploy file on one machine, started again by the platform when it ends. */
export class Gateway {
	/** Ends of the process that nobody asked for: exit codes or signals. */
	ends = [];
	#child;
	#isClosing = false;

	/** `machines` lists the machines of the deployment, from `layOut`. */
	constructor({machine, machines, zones, storeAddress, directory, record}) {
		Object.assign(this, {machine, directory, record});
		const deploy = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
		const [, run] = /^run = "(.+)"$/m.exec(deploy);
		const [, template] = /^template = "(.+)"$/m.exec(deploy);
		this.command = run.split(' ');
		this.settingsFile = path.join(directory, `${machine.name}.yaml`);
		writeFileSync(this.settingsFile, render(readFileSync(path.join(root, template), 'utf8'), {
			nodeName: machine.name,
			zone: machine.zone,
			region: zones[machine.zone],
			zones,
			ip: machine.ip,
			listen: machine.listen,
			internalPortRange: machine.internalPorts,
			seeds: machines.slice(0, 3).map(({listen}) => listen.control),
			platform: {address: storeAddress},
			bounds,
		}));
	}

	/** Assigns addresses to machines: `{name, zone}` to the input of the constructor. */
	static async layOut(machines) {
		return Promise.all(machines.map(async (machine, index) => {
			const ip = `127.0.${1 + (process.pid % 200)}.${index + 1}`;
			const [front, ready, control, directory, ...internalPorts] = await freePorts(ip, 6);
			return {
				...machine, ip, internalPorts, listen: {
					front: `${ip}:${front}`, ready: `${ip}:${ready}`, control: `${ip}:${control}`, directory: `${ip}:${directory}`,
				},
			};
		}));
	}

	start() {
		const log = openSync(path.join(this.directory, `${this.machine.name}.log`), 'a');
		const [program, ...words] = this.command;
		const child = spawn(program === 'node' ? process.execPath : program, words, {
			cwd: root,
			stdio: ['ignore', log, log],
			env: {
				PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, FESCUEWICK_BOOT: this.settingsFile,
			},
		});
		closeSync(log);
		this.#child = child;
		child.once('exit', (code, signal) => {
			this.record.add('process-ended', {machine: this.machine.name, code, signal});
			if (!this.#isClosing) {
				this.ends.push(signal ?? code);
				setTimeout(() => {
					if (!this.#isClosing) {
						this.start();
					}
				}, restartPauseMs);
			}
		});
	}

	/** Resolves when the readiness endpoint answers with 200. */
	async waitUntilReady() {
		for (const endsAtMs = performance.now() + startTimeoutMs; performance.now() < endsAtMs; await sleep(50)) {
			try {
				const {status} = await fetch(`http://${this.machine.listen.ready}/ready`, {signal: AbortSignal.timeout(1000)});
				if (status === 200) {
					return;
				}
			} catch {
				// Nothing listens there yet.
			}
		}

		throw new Error(`${this.machine.name} was not ready within ${startTimeoutMs} ms`);
	}

	signal(name) {
		this.#child.kill(name);
	}

	/** Ends the process, by force if it does not end within the grace time. */
	async close() {
		this.#isClosing = true;
		const child = this.#child;
		if (child.exitCode !== null || child.signalCode !== null) {
			return;
		}

		const exited = once(child, 'exit');
		child.kill('SIGCONT');
		child.kill('SIGTERM');
		const timer = setTimeout(() => child.kill('SIGKILL'), Number(bounds.graceS) * 1000);
		await exited;
		clearTimeout(timer);
	}
}
