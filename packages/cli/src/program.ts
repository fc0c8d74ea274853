import {Command, CommanderError} from 'commander';
import {
	errorBody, FescuewickError, ResultCode, resultCodeName, toFescuewickError, type TimerService,
} from '@fescuewick/core';
import {type ObjectStore} from '@fescuewick/store';
import {applyFile} from './commands/apply.js';
import {codes} from './commands/codes.js';
import {
	cap, drain, rate, uncap, undrain,
} from './commands/edits.js';
import {issue, listKeys, withdraw} from './commands/keys.js';
import {diffFile, show} from './commands/show.js';
import {status} from './commands/status.js';
import {watch} from './commands/watch.js';
import {
	parseNumber, type CommandContext, type CommandResult, type Output,
} from './context.js';
import {exitCodeOf, otherExitCode} from './exit-codes.js';
import {type AdminFetch} from './fleet/admin-fetch.js';
import {loadClientSettings, type GlobalOptions} from './settings.js';

/** Connection to a store, opened for one command. */
export type OpenedStore = {readonly store: ObjectStore; close(): Promise<void>};

/** External dependencies of the client; tests inject their own. */
export type CliDependencies = {
	readonly openStore: (url: string, timeoutMs: number) => OpenedStore;
	readonly fetch: AdminFetch;
	readonly output: Output;
	readonly timers: TimerService;
	readonly randomBytes: (count: number) => Uint8Array;
	readonly userName: string;
	readonly signal: AbortSignal;
};

type CommandAction = (context: CommandContext) => CommandResult | Promise<CommandResult>;
type ActionRunner = (action: CommandAction) => Promise<void>;
type WaitFlags = {readonly wait?: boolean; readonly waitLimit?: string};

/** Runs one command line; `args` does not include the program's name. Resolves with the exit code and never rejects. */
export async function runCommandLine(args: readonly string[], dependencies: CliDependencies): Promise<number> {
	const {output} = dependencies;
	let exitCode = 0;
	const program = createProgram(output);
	const run: ActionRunner = async action => {
		exitCode = await runAction(program.opts<GlobalOptions>(), dependencies, action);
	};

	addAllCommands(program, run);
	program.command('codes').description('show the table of result codes').action(() => {
		exitCode = reportResult(output, codes(), isJsonOutput(program.opts<GlobalOptions>()));
	});
	try {
		await program.parseAsync([...args], {from: 'user'});
		return exitCode;
	} catch (error) {
		if (error instanceof CommanderError) {
			return error.exitCode === 0 ? 0 : exitCodeOf(ResultCode.usage);
		}

		return reportError(output, error);
	}
}

function createProgram(output: Output): Command {
	return new Command('fescuewick')
		.description('Operators\' client of fescuewick, a global traffic steering system.')
		.option('--store <url>', 'base URL of the object store')
		.option('--settings <file>', 'YAML file with storeUrl, author and adminUrls')
		.option('--author <name>', 'name recorded with each change')
		.option('--output <format>', 'json or table', 'table')
		.exitOverride()
		.configureOutput({
			writeOut(text) {
				output.out(text.trimEnd());
			},
			writeErr(text) {
				output.err(text.trimEnd());
			},
			outputError(text, write) {
				write(`error ${ResultCode.usage} ${resultCodeName(ResultCode.usage)}: ${text.replace(/^error: /, '')}`);
			},
		});
}

function addAllCommands(program: Command, run: ActionRunner): void {
	addWaitOptions(program.command('apply <file>').description('apply a configuration file'))
		.option('--dry-run', 'show what would change and write nothing')
		.option('--base <revision>', 'revision the file was made from, or "current"')
		.action(async (file: string, flags: WaitFlags & {dryRun?: boolean; base?: string}) => run(async context => applyFile(context, {...parseWaitOptions(flags), ...flags, file})));
	program.command('show').description('show the configuration in force').action(async () => run(show));
	program.command('diff <file>').description('show what applying a file would change').action(async (file: string) => run(async context => diffFile(context, file)));
	program.command('status').description('show the state of failure domains and VMs').action(async () => run(status));
	program.command('watch').description('print changes as they are accepted')
		.option('--count <n>', 'exit after this many changes')
		.action(async ({count}: {count?: string}) => run(async context => watch(context, {count: parseOptionalNumber(count, '--count')})));
	addKeyCommands(program, run);
	addEditCommands(program, run);
}

function addKeyCommands(program: Command, run: ActionRunner): void {
	const key = program.command('key').description('issue, withdraw and list keys');
	addWaitOptions(key.command('issue <workspace>').description('issue a key and print it once'))
		.option('--id <id>', 'name of the key')
		.action(async (workspace: string, flags: WaitFlags & {id?: string}) => run(async context => issue(context, workspace, {...parseWaitOptions(flags), id: flags.id})));
	addWaitOptions(key.command('withdraw <id>').description('withdraw a key'))
		.action(async (id: string, flags: WaitFlags) => run(async context => withdraw(context, id, parseWaitOptions(flags))));
	key.command('list').description('list keys by id').action(async () => run(listKeys));
}

function addEditCommands(program: Command, run: ActionRunner): void {
	addWaitOptions(program.command('drain <kind> <name>').description('drain a failure-domain, vm or server'))
		.option('--force', 'accept a name that is not on the platform\'s list of VMs or backend servers')
		.action(async (kind: string, name: string, flags: WaitFlags & {force?: boolean}) => run(async context => drain(context, kind, name, {...parseWaitOptions(flags), force: flags.force})));
	addWaitOptions(program.command('undrain <kind> <name>').description('end a drain'))
		.action(async (kind: string, name: string, flags: WaitFlags) => run(async context => undrain(context, kind, name, parseWaitOptions(flags))));
	addWaitOptions(program.command('cap <service>').description('limit how much traffic of a service may be moved between regions'))
		.requiredOption('--max-percent <n>', 'maximum fraction of the service\'s traffic that may be moved, in percent')
		.requiredOption('--max-percent-per-minute <n>', 'maximum change of the moved fraction, in percent per minute')
		.action(async (service: string, flags: WaitFlags & {maxPercent: string; maxPercentPerMinute: string}) => run(async context => cap(context, {
			service,
			maxPercent: parseNumber(flags.maxPercent, '--max-percent'),
			maxPercentPerMinute: parseNumber(flags.maxPercentPerMinute, '--max-percent-per-minute'),
		}, parseWaitOptions(flags))));
	addWaitOptions(program.command('uncap <service>').description('remove the shift cap of a service'))
		.action(async (service: string, flags: WaitFlags) => run(async context => uncap(context, service, parseWaitOptions(flags))));
	addWaitOptions(program.command('rate <workspace>').description('set rate and burst of a workspace'))
		.requiredOption('--rate-per-s <n>', 'requests per second')
		.option('--burst <n>', 'maximum burst, in requests; unchanged by default')
		.action(async (workspace: string, flags: WaitFlags & {ratePerS: string; burst?: string}) => run(async context => rate(context, workspace, {
			ratePerS: parseNumber(flags.ratePerS, '--rate-per-s'),
			burst: parseOptionalNumber(flags.burst, '--burst'),
		}, parseWaitOptions(flags))));
}

function addWaitOptions(command: Command): Command {
	return command
		.option('--wait', 'wait until all VMs have confirmed the change')
		.option('--wait-limit <seconds>', 'maximum time to wait, in seconds; default 30');
}

function parseWaitOptions({wait, waitLimit}: WaitFlags): {wait?: boolean; waitLimitMs?: number} {
	const seconds = parseOptionalNumber(waitLimit, '--wait-limit');
	return {wait, ...(seconds === undefined ? {} : {waitLimitMs: seconds * 1000})};
}

function parseOptionalNumber(text: string | undefined, option: string): number | undefined {
	return text === undefined ? undefined : parseNumber(text, option);
}

async function runAction(options: GlobalOptions, dependencies: CliDependencies, action: CommandAction): Promise<number> {
	const {output} = dependencies;
	let openedStore: OpenedStore | undefined;
	try {
		const jsonOutput = isJsonOutput(options);
		const {storeUrl, storeTimeoutMs, adminUrls, author = dependencies.userName} = loadClientSettings(options);
		if (storeUrl === undefined) {
			throw new FescuewickError(ResultCode.usage, 'no store URL is configured; use --store or a settings file with storeUrl');
		}

		openedStore = dependencies.openStore(storeUrl, storeTimeoutMs);
		const result = await action({
			...dependencies, store: openedStore.store, adminUrls, author, jsonOutput,
		});
		return reportResult(output, result, jsonOutput);
	} catch (error) {
		if (options.output === 'json') {
			const {code, message, retryAfterMs} = toFescuewickError(error);
			output.out(JSON.stringify(errorBody(code, message, retryAfterMs), null, 2));
		}

		return reportError(output, error);
	} finally {
		await openedStore?.close();
	}
}

/** Whether `--output` selects JSON; throws `usage` for an unknown format. */
function isJsonOutput({output}: GlobalOptions): boolean {
	if (output !== 'json' && output !== 'table') {
		throw new FescuewickError(ResultCode.usage, `--output must be json or table, not ${output ?? ''}`);
	}

	return output === 'json';
}

function reportResult(output: Output, {code, json, text, message}: CommandResult, asJson: boolean): number {
	if (asJson && json !== undefined) {
		output.out(JSON.stringify({code, name: resultCodeName(code), ...(Array.isArray(json) ? {rows: json as unknown[]} : json)}, null, 2));
	} else if (!asJson && text !== '') {
		output.out(text);
	}

	if (code !== ResultCode.ok) {
		output.err(`error ${code} ${resultCodeName(code)}: ${message ?? ''}`);
	}

	return exitCodeOf(code);
}

function reportError(output: Output, error: unknown): number {
	const {code, message} = toFescuewickError(error);
	output.err(`error ${code} ${resultCodeName(code)}: ${message}`);
	return code === ResultCode.internal ? otherExitCode : exitCodeOf(code);
}
