import process from 'node:process';
import {Writable} from 'node:stream';
import {
	pino, destination, stdTimeFunctions, symbols, type Logger,
} from 'pino';

export {type Logger} from 'pino';

/** Kinds of logged decision. */
export enum DecisionKind {
	lookup = 'lookup',
	route = 'route',
	backendChoice = 'backend-choice',
	admission = 'admission',
	placement = 'placement',
	share = 'share',
	shift = 'shift',
	claim = 'claim',
	ejection = 'ejection',
	relay = 'relay',
}

const redactedPaths = ['authorization', '*.authorization', 'headers["x-api-key"]', 'key', '*.key', 'idempotencyKey'];

/** Log lines buffered for a slow reader, in bytes; above this, new lines are dropped, so that logging never blocks. */
const maxBufferedBytes = 4 * 1024 * 1024;

/** Creates the structured logger of a process; `level` is a pino level. */
export function createLogger(name: string, level = process.env.FESCUEWICK_LOG ?? 'info', target: 'stdout' | 'stderr' = 'stderr'): Logger {
	// An asynchronous destination in this process; pino's transports would start worker threads with shared memory.
	return pino({
		name, level, timestamp: stdTimeFunctions.isoTime, redact: redactedPaths,
	}, destination({
		dest: target === 'stdout' ? 1 : 2, sync: false, minLength: 4096, maxLength: maxBufferedBytes,
	}));
}

/** Creates a logger that discards everything, for tests. */
export function createSilentLogger(): Logger {
	return pino({level: 'silent'});
}

/** Creates a logger that collects its lines as objects, for tests. */
export function createMemoryLogger(lines: Array<Record<string, unknown>>, level = 'debug'): Logger {
	const sink = new Writable({
		write(chunk: Uint8Array, _encoding, callback) {
			lines.push(JSON.parse(chunk.toString()) as Record<string, unknown>);
			callback();
		},
	});
	return pino({level, redact: redactedPaths}, sink);
}

type LineStream = {write(lines: string): void; readonly flushSync?: () => void};

/** Buffered lines are flushed at this length; the destination accepts at most 16 KB in one write. */
const flushThresholdChars = 12_000;

/**
Writes decision lines whose fields are already serialized as JSON, as in `"reason":"home","vm":"a1"`, to a logger's destination.

Meant for code that logs every request with few distinct field values: formatting a line in pino takes 3 to 6 µs and writing it to the destination on its own 2 µs, against 0.4 µs for buffered lines. The text is not redacted, so it must not contain keys. The owner calls `flush` periodically and when it stops.
*/
export class DecisionWriter {
	readonly #stream: LineStream;
	readonly #linePrefix: string;
	readonly #bindings: string;
	readonly #buffersLines: boolean;
	readonly #logger: Logger;
	#timeMs = 0;
	#time = '';
	#buffer = '';

	constructor(logger: Logger, kind: DecisionKind) {
		const internals = logger as unknown as Record<symbol, unknown>;
		this.#logger = logger;
		this.#stream = internals[symbols.streamSym] as LineStream;
		this.#linePrefix = `{"level":${logger.levels.values.info},"time":"`;
		this.#bindings = `"${internals[symbols.chindingsSym] as string},"decision":"${kind}",`;
		// Other streams, as in tests, may expect one line in each write.
		this.#buffersLines = this.#stream.flushSync !== undefined;
	}

	/** Buffers or writes a line if the logger's level includes `info`. */
	write(fields: string, wallClockMs: number): void {
		if (!this.#logger.isLevelEnabled('info')) {
			return;
		}

		if (wallClockMs !== this.#timeMs) {
			this.#timeMs = wallClockMs;
			this.#time = new Date(wallClockMs).toISOString();
		}

		this.#buffer += `${this.#linePrefix}${this.#time}${this.#bindings}${fields},"msg":"decision"}\n`;
		if (!this.#buffersLines || this.#buffer.length >= flushThresholdChars) {
			this.flush();
		}
	}

	/** Writes the buffered lines to the logger's destination. */
	flush(): void {
		if (this.#buffer !== '') {
			this.#stream.write(this.#buffer);
			this.#buffer = '';
		}
	}
}

/** Logs one routing or placement decision with its reason. */
export function logDecision(logger: Logger, kind: DecisionKind, reason: string, fields: Record<string, unknown>): void {
	logger.info({decision: kind, reason, ...fields}, 'decision');
}
