import {statSync} from 'node:fs';
import process from 'node:process';
import {Command, Option} from 'commander';
import {type z} from 'zod';
import {toFescuewickError} from './errors.js';
import {createLogger, type Logger} from './logger.js';
import {ResultCode} from './result-codes.js';
import {readSettings} from './settings.js';
import {SystemTimerService, type TimerService} from './timer-service.js';

/** How often a daemon looks whether its settings file has changed without a signal, in milliseconds. */
const settingsCheckMs = 2000;

/** A daemon that can be stopped gracefully. */
export type Stoppable<Settings = unknown> = {
	stop(): Promise<void>;
	/** Applies settings that changed while the daemon runs. */
	reload?(settings: Settings): void;
};

/** How to run a daemon as a process of its own. */
export type DaemonDefinition<Schema extends z.ZodType> = {
	readonly name: string;
	readonly description: string;
	readonly settingsSchema: Schema;
	/** Environment variable that names the settings file where the command line does not. */
	readonly settingsVariable?: string;
	/** Where log lines go; default is standard error. */
	readonly logsTo?: 'stdout' | 'stderr';
	readonly start: (settings: z.output<Schema>, deps: {readonly timers: TimerService; readonly logger: Logger}) => Promise<Stoppable<z.output<Schema>>>;
};

/** How long a start may go on after a signal to stop, in milliseconds; starts take about a second, and the shortest grace time of the deployments so far is 6 s. */
const maxStartAfterStopMs = 3000;

/** Reads the settings file named on the command line, runs the daemon until SIGTERM or SIGINT, and exits 0 after a graceful stop. A signal that comes during the start stops the daemon once it has started. */
export async function runDaemon<Schema extends z.ZodType>(definition: DaemonDefinition<Schema>): Promise<void> {
	// Without any listener a SIGHUP would end the process during its start and its graceful stop.
	process.on('SIGHUP', ignoreSignal);
	// The same holds for a SIGTERM that comes when the daemon already serves, but its start has not returned.
	const stopRequested = stopSignal();
	const option = new Option('--settings <file>', 'YAML settings file').makeOptionMandatory();
	if (definition.settingsVariable !== undefined) {
		option.env(definition.settingsVariable);
	}

	const program = new Command(definition.name).description(definition.description).addOption(option);
	const {settings: file} = program.parse().opts<{settings: string}>();
	const logger = createLogger(definition.name, undefined, definition.logsTo);
	const timers = new SystemTimerService();
	try {
		const settings = readSettings(file, definition.settingsSchema);
		const daemon = await Promise.race([definition.start(settings, {timers, logger}), startTimeout(stopRequested, timers)]);
		if (daemon === undefined) {
			logger.warn({event: 'stopped-during-start', waitedMs: maxStartAfterStopMs}, 'the start did not end after a signal to stop');
		} else {
			const unwatch = watchSettings(file, definition, daemon, {timers, logger});
			await stopRequested;
			unwatch();
			logger.info('stopping');
			await daemon.stop();
			logger.info('stopped');
		}
	} catch (error) {
		const {code, message} = toFescuewickError(error);
		logger.fatal({code, reason: message}, 'daemon failed');
		process.exitCode = code === ResultCode.settingsInvalid ? 78 : 70;
	}

	logger.flush();
	// Keep-alive timers of libraries would hold the process after a graceful stop.
	// eslint-disable-next-line unicorn/no-process-exit
	process.exit();
}

/** Reads the settings again on SIGHUP and when the file has changed; settings that are not valid leave the present ones in force. */
function watchSettings<Schema extends z.ZodType>(file: string, {settingsSchema}: DaemonDefinition<Schema>, daemon: Stoppable<z.output<Schema>>, {timers, logger}: {readonly timers: TimerService; readonly logger: Logger}): () => void {
	if (daemon.reload === undefined) {
		return () => undefined;
	}

	let changedAtMs = changeTimeMs(file);
	const reload = () => {
		changedAtMs = changeTimeMs(file);
		try {
			daemon.reload!(readSettings(file, settingsSchema));
		} catch (error) {
			const {code, message} = toFescuewickError(error);
			logger.error({event: 'reload-failed', code, reason: message}, 'changed settings are not valid, the present ones stay in force');
		}
	};

	process.on('SIGHUP', reload);
	const cancel = timers.repeat(settingsCheckMs, () => {
		if (changeTimeMs(file) !== changedAtMs) {
			reload();
		}
	});
	return () => {
		cancel();
		process.off('SIGHUP', reload);
	};
}

/** Modification time of a file; undefined while it cannot be read, as in the middle of its replacement. */
function changeTimeMs(file: string): number | undefined {
	return statSync(file, {throwIfNoEntry: false})?.mtimeMs;
}

function ignoreSignal(): void {
	// What is under way goes on.
}

/** Resolves when a start has taken too long after a signal to stop. */
async function startTimeout(stopRequested: Promise<void>, timers: TimerService): Promise<undefined> {
	await stopRequested;
	await timers.sleep(maxStartAfterStopMs);
	return undefined;
}

/** Resolves at the first signal to stop; later ones change nothing, so that they do not cut the stop short. */
async function stopSignal(): Promise<void> {
	await new Promise<void>(resolve => {
		for (const signal of ['SIGTERM', 'SIGINT'] as const) {
			process.on(signal, () => {
				resolve();
			});
		}
	});
}
