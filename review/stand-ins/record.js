import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

/** What was sent, run and answered, in order. */
export class Recorder {
	entries = [];
	#startedAtMs = performance.now();

	add(event, fields = {}) {
		this.entries.push({atMs: Math.round(performance.now() - this.#startedAtMs), event, ...fields});
	}

	of(event) {
		return this.entries.filter(entry => entry.event === event);
	}

	write(file, lines) {
		writeFileSync(file, [...this.entries.map(({atMs, event, ...fields}) => `${atMs} ms ${event} ${JSON.stringify(fields)}`), ...lines, ''].join('\n'));
	}
}

/** Host and port of `ip:port`. */
export function splitAddress(address) {
	const [hostname, port] = address.split(':');
	return {hostname, port: Number(port)};
}

/**
Runs a case: `play` gets the recorder, a temporary folder, whether to cause the disruption, and `atEnd` to register what must be ended; it returns the lines that say how the rule was broken.

Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
*/
export async function runCase(folder, play) {
	const record = new Recorder();
	const directory = mkdtempSync(path.join(tmpdir(), 'review-'));
	const endings = [];
	const isTroubled = process.env.TROUBLE !== '0';
	let status = 2;
	let lines = [];
	try {
		const broken = await play({
			record, directory, isTroubled, atEnd(ending) {
				endings.unshift(ending);
			},
		});
		status = broken.length > 0 ? 1 : 0;
		lines = broken.length > 0 ? broken : ['the rule held'];
	} catch (error) {
		lines = [`the case could not run: ${error.stack}`];
	}

	for (const ending of endings) {
		await ending();
	}

	lines.unshift(`disruption: ${isTroubled ? 'yes' : 'no'}`);
	record.write(path.join(folder, 'record.txt'), lines);
	console.log(lines.join('\n'));
	if (process.env.KEEP_LOGS === undefined) {
		rmSync(directory, {recursive: true});
	} else {
		console.log(directory);
	}

	process.exitCode = status;
	// Kept connections and timers of the stand-ins must not hold the process.
	// eslint-disable-next-line unicorn/no-process-exit
	process.exit();
}
