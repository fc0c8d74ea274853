import {rmSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {Command} from 'commander';
import {runSoak} from './soak.js';

type Options = {readonly seed: string; readonly minutes: string; readonly seeds: string; readonly logs: string};

const program = new Command('fescuewick-soak')
	.description('Runs VMs as real processes under seeded faults and checks what callers and backend servers observe')
	.option('--seed <number>', 'seed of the first run', '1')
	.option('--seeds <count>', 'number of runs, with consecutive seeds', '1')
	.option('--minutes <number>', 'duration of the faults in a run', '1')
	.option('--logs <directory>', 'where logs of runs that violated a guarantee are kept', 'reports/soak');
const options = program.parse().opts<Options>();
const numbers = [options.seed, options.seeds, options.minutes].map(Number);
if (numbers.some(number => !Number.isFinite(number) || number <= 0)) {
	program.error(`--seed, --seeds and --minutes must be numbers above 0; got ${options.seed}, ${options.seeds} and ${options.minutes}`);
}

const [firstSeed, seedCount, minutes] = numbers;
for (let seed = firstSeed; seed < firstSeed + seedCount; seed++) {
	const directory = path.join(options.logs, `seed-${seed}`);
	const report = await runSoak({seed, lengthMs: minutes * 60_000, directory});
	process.stdout.write(`${JSON.stringify({...report, broken: report.broken.length})}\n`);
	for (const {guarantee, atMs, text} of report.broken) {
		process.stdout.write(`  BROKEN ${guarantee} at ${Math.round(atMs)} ms: ${text}\n`);
	}

	if (report.broken.length === 0) {
		rmSync(directory, {recursive: true});
	} else {
		process.exitCode = 1;
	}
}

// Keep-alive timers of libraries would keep the process running.
// eslint-disable-next-line unicorn/no-process-exit
process.exit();
