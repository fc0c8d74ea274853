import {Agent, request, type Dispatcher} from 'undici';
import {type Cancel, type Logger, type TimerService} from '@fescuewick/core';
import {rejectInvalidStatuses, shortAnswerConnector} from '@fescuewick/entry/http';
import {type HeaderDialect} from '../forward/header-dialect.js';
import {type Backend, ConditionEvent} from './backend.js';
import {StatementSource} from './backend-statements.js';
import {type Placer} from './placer.js';

/** Probe interval of unreachable servers; each probe has a cost, and a server rarely recovers sooner. */
const probeIntervalMs = 1000;
/** Probe timeout; a probe may wait for a slot at the server. */
const probeTimeoutMs = 900;

/** Time limit for the connection of a probe, in milliseconds. */
const connectTimeoutMs = 500;
/** Longest answer to a probe with its head, in bytes. */
const maxAnswerBytes = 65_536;

/** Creates the HTTP client of the probes; each probe has a connection of its own. */
export function createProbeAgent(): Agent {
	return new Agent({pipelining: 1, connect: shortAnswerConnector({connectTimeoutMs, maxAnswerBytes})});
}

type ProberOptions = {
	readonly placer: Placer;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly dialect: HeaderDialect;
	readonly dispatcher: Dispatcher;
	/** Region whose servers this VM probes. */
	readonly region: string;
	readonly healthPathOf: (service: string) => string | undefined;
	readonly onSlotAvailable: () => void;
};

/** Actively probes unreachable servers until they answer or are removed; healthy ones are checked passively, by the outcomes of requests. */
export class Prober {
	readonly #probing = new Set<string>();
	#cancel: Cancel | undefined;

	readonly #dispatcher: Dispatcher;

	constructor(private readonly options: ProberOptions) {
		this.#dispatcher = options.dispatcher.compose(rejectInvalidStatuses);
	}

	start(): void {
		this.#cancel = this.options.timers.repeat(probeIntervalMs, () => {
			for (const backend of this.options.placer.backends) {
				if (backend.needsProbe(this.options.timers.nowMs()) && !this.#probing.has(backend.id) && backend.region === this.options.region) {
					this.#probing.add(backend.id);
					void this.#probe(backend);
				}
			}
		});
	}

	stop(): void {
		this.#cancel?.();
	}

	async #probe(backend: Backend): Promise<void> {
		const {timers, dialect, healthPathOf, placer, logger, onSlotAvailable} = this.options;
		const {address, service} = backend.record;
		const serverStart = backend.start;
		try {
			const response = await request(`http://${address}${healthPathOf(service) ?? '/'}`, {dispatcher: this.#dispatcher, signal: AbortSignal.timeout(probeTimeoutMs), reset: true});
			await response.body.dump();
			const {server, coldForMs, isLeaving, pauseMs, limit} = dialect.readAnswer(response.statusCode, response.headers);
			if (server !== undefined && server !== backend.id) {
				placer.markReplaced(backend);
			} else if (isLeaving) {
				placer.statements.markLeaving(serverStart, StatementSource.probe);
			} else if (pauseMs !== undefined) {
				placer.statements.markPausing(serverStart, pauseMs);
			} else if (response.statusCode === 200) {
				if (limit?.perS !== undefined) {
					placer.statements.markLimited(serverStart, limit.perS, StatementSource.probe);
				}

				backend.markCold(coldForMs ?? 0, timers.nowMs());
				backend.apply(ConditionEvent.probeSucceeded);
				logger.info({event: 'backend-up', server: backend.id, coldForMs}, 'backend server is reachable again');
				onSlotAvailable();
			}
		} catch (error) {
			logger.debug({event: 'probe-failed', server: backend.id, reason: (error as Error).message}, 'probe of a backend server failed');
		} finally {
			this.#probing.delete(backend.id);
		}
	}
}
