#!/usr/bin/env node
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {Command} from 'commander';
import {
	createLogger, FescuewickError, formatProblem, parseYaml, ResultCode, SystemTimerService,
} from '@fescuewick/core';
import {runExperiment} from './load/experiment.js';
import {renderReport} from './load/report.js';
import {scenarioSchema, type Scenario} from './load/scenario.js';

const program = new Command('fescuewick-bench').description('Runs load experiments against a local deployment');
program
	.command('run')
	.description('Runs an experiment file and writes its report')
	.argument('<file>', 'experiment in YAML')
	.option('--output <folder>', 'folder for the report', 'reports')
	.option('--seed <number>', 'seed to use instead of the one in the file')
	.action(async (file: string, options: {output: string; seed?: string}) => {
		const scenario = readScenario(file, options.seed);
		const logger = createLogger('fescuewick-bench', process.env.FESCUEWICK_LOG ?? 'warn');
		const result = await runExperiment(scenario, {timers: new SystemTimerService(), logger});
		mkdirSync(options.output, {recursive: true});
		const base = path.join(options.output, `${scenario.name}-${scenario.seed}`);
		writeFileSync(`${base}.json`, JSON.stringify(result, undefined, '\t'));
		const report = renderReport(result);
		writeFileSync(`${base}.md`, report);
		process.stdout.write(report);
		logger.flush();
		process.exitCode = result.backends.doubledOrders + result.falseNotRun + result.backends.keysSeen + result.load.notOwn > 0 ? 1 : 0;
	});
await program.parseAsync();

function readScenario(file: string, seed: string | undefined): Scenario {
	const {value, problems} = parseYaml(readFileSync(file, 'utf8'), file, scenarioSchema);
	if (value === undefined) {
		throw new FescuewickError(ResultCode.configurationInvalid, problems.map(problem => formatProblem(problem)).join('\n'));
	}

	const configuration = value.configuration === undefined ? undefined : path.resolve(path.dirname(file), value.configuration);
	return {...value, configuration, seed: seed === undefined ? value.seed : Number(seed)};
}
