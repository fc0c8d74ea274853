import {statSync} from 'node:fs';
import process from 'node:process';
import {Command, Option} from 'commander';
import {type z} from 'zod';
import {toFescuewickError} from './errors.js';
import {createLogger, type Logger} from './logger.js';
import {listenForSignals, type ProcessSignals} from './process-signals.js';
import {ResultCode} from './result-codes.js';
import {readSettings} from './settings.js';
import {SystemTimerService, type TimerService} from './timer-service.js';

/** Interval at which a daemon checks the modification time of its settings file. */
const settingsPollIntervalMs = 2000;

/** A started daemon. */
export type RunningDaemon<Settings = unknown> = {
	/** Stops gracefully; resolves when the daemon has stopped. */
	stop(): Promise<void>;
	/** Applies settings that changed while the daemon runs. */
	reload?(settings: Settings): void;
};

/** Name, settings and start function of a daemon that runs as its own process. */
export type DaemonDefinition<Schema extends z.ZodType> = {
	readonly name: string;
	readonly description: string;
	readonly settingsSchema: Schema;
	/** Environment variable with the path of the settings file, used if the command line gives none. */
	readonly settingsVariable?: string;
	/** Destination of log lines. Default: standard error. */
	readonly logsTo?: 'stdout' | 'stderr';
	readonly start: (settings: z.output<Schema>, deps: {readonly timers: TimerService; readonly logger: Logger}) => Promise<RunningDaemon<z.output<Schema>>>;
};

/** Max time that a start may continue after a stop signal. A start takes about 1 s, and the shortest grace period of the deployments is 6 s. */
const maxStartAfterStopMs = 3000;

/** Reads the settings file named on the command line, runs the daemon until SIGTERM or SIGINT, and exits 0 after a graceful stop. A signal that comes during the start stops the daemon once it has started. */
export async function runDaemon<Schema extends z.ZodType>(definition: DaemonDefinition<Schema>): Promise<void> {
	const signals = listenForSignals();
	const {stopRequested} = signals;
	const option = new Option('--settings <file>', 'YAML settings file').makeOptionMandatory();
	if (definition.settingsVariable !== undefined) {
		option.env(definition.settingsVariable);
	}

	const program = new Command(definition.name).description(definition.description).addOption(option);
	const {settings: file} = program.parse().opts<{settings: string}>();
	const logger = createLogger(definition.name, undefined, definition.logsTo);
	const timers = new SystemTimerService();
	containUnexpectedErrors(logger);
	try {
		const read: SettingsRead = {hangups: signals.hangups, modifiedAtMs: modifiedAtMs(file)};
		const settings = readSettings(file, definition.settingsSchema);
		const daemon = await Promise.race([definition.start(settings, {timers, logger}), startTimeout(stopRequested, timers)]);
		if (daemon === undefined) {
			logger.warn({event: 'stopped-during-start', waitedMs: maxStartAfterStopMs}, 'start did not finish within the limit after a stop signal');
		} else {
			const unwatch = watchSettings(file, definition, daemon, {
				timers, logger, signals, read,
			});
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
	// Keep-alive timers of libraries would keep the event loop running after a graceful stop.
	// eslint-disable-next-line unicorn/no-process-exit
	process.exit();
}

/** Logs errors that nothing handled, instead of ending the process: an error in the work on one request or message must not end the work on all others. */
function containUnexpectedErrors(logger: Logger): void {
	process.on('uncaughtException', (error, origin) => {
		logger.error({event: 'unexpected-error', origin, err: error}, 'an error was not handled; the process goes on');
	});
}

/** State of the signals and of the settings file when the settings were read. */
type SettingsRead = {readonly hangups: number; readonly modifiedAtMs: number | undefined};

type WatchDependencies = {
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly signals: ProcessSignals;
	readonly read: SettingsRead;
};

/** Reloads the settings on SIGHUP and when the file has changed, also if that happened during the start; invalid settings are logged and the current ones stay in force. */
function watchSettings<Schema extends z.ZodType>(file: string, {settingsSchema}: DaemonDefinition<Schema>, daemon: RunningDaemon<z.output<Schema>>, {timers, logger, signals, read}: WatchDependencies): () => void {
	if (daemon.reload === undefined) {
		return () => undefined;
	}

	let lastModifiedAtMs = read.modifiedAtMs;
	const reload = () => {
		lastModifiedAtMs = modifiedAtMs(file);
		try {
			daemon.reload!(readSettings(file, settingsSchema));
		} catch (error) {
			const {code, message} = toFescuewickError(error);
			logger.error({event: 'reload-failed', code, reason: message}, 'changed settings are invalid; the current ones stay in force');
		}
	};

	signals.onHangup = reload;
	if (signals.hangups > read.hangups) {
		reload();
	}

	const cancel = timers.repeat(settingsPollIntervalMs, () => {
		if (modifiedAtMs(file) !== lastModifiedAtMs) {
			reload();
		}
	});
	return () => {
		cancel();
		signals.onHangup = undefined;
	};
}

/** Modification time of a file; undefined if it does not exist, as during its replacement. */
function modifiedAtMs(file: string): number | undefined {
	return statSync(file, {throwIfNoEntry: false})?.mtimeMs;
}

/** Resolves `maxStartAfterStopMs` after the first stop signal. */
async function startTimeout(stopRequested: Promise<void>, timers: TimerService): Promise<undefined> {
	await stopRequested;
	await timers.sleep(maxStartAfterStopMs);
	return undefined;
}
