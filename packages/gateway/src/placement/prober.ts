import {request, type Dispatcher} from 'undici';
import {type Cancel, type Logger, type TimerService} from '@fescuewick/core';
import {type HeaderDialect} from '../forward/header-dialect.js';
import {type Backend, HealthEvent} from './backend.js';
import {type Placer} from './placer.js';

/** Interval at which unreachable servers are probed, in milliseconds; probes are priced, and a server is rarely back sooner. */
const intervalMs = 1000;
/** Longest time for a probe, in milliseconds; it may wait for a slot at the server. */
const probeMs = 900;

type ProberOptions = {
	readonly placer: Placer;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly dialect: HeaderDialect;
	readonly dispatcher: Dispatcher;
	/** Region whose servers this VM probes. */
	readonly region: string;
	readonly healthPathOf: (service: string) => string | undefined;
	readonly onRoom: () => void;
};

/** Probes servers that could not be reached, until they answer or leave; healthy ones are judged by what they do to requests. */
export class Prober {
	readonly #running = new Set<string>();
	#cancel: Cancel | undefined;

	constructor(private readonly options: ProberOptions) {}

	start(): void {
		this.#cancel = this.options.timers.repeat(intervalMs, () => {
			for (const backend of this.options.placer.backends) {
				if (backend.needsProbe && !this.#running.has(backend.id) && backend.region === this.options.region) {
					this.#running.add(backend.id);
					void this.#probe(backend);
				}
			}
		});
	}

	stop(): void {
		this.#cancel?.();
	}

	async #probe(backend: Backend): Promise<void> {
		const {timers, dialect, dispatcher, healthPathOf, placer, logger, onRoom} = this.options;
		const {address, service} = backend.record;
		try {
			const response = await request(`http://${address}${healthPathOf(service) ?? '/'}`, {dispatcher, signal: AbortSignal.timeout(probeMs), reset: true});
			await response.body.dump();
			const {server, coldForMs} = dialect.readAnswer(response.statusCode, response.headers);
			if (server !== undefined && server !== backend.id) {
				placer.misdirected(backend);
			} else if (response.statusCode === 200) {
				backend.coldFor(coldForMs ?? 0, timers.nowMs());
				backend.send(HealthEvent.probeSucceeded);
				logger.info({event: 'backend-up', server: backend.id, coldForMs}, 'backend server answers again');
				onRoom();
			}
		} catch (error) {
			logger.debug({event: 'probe-failed', server: backend.id, reason: (error as Error).message}, 'probe failed');
		} finally {
			this.#running.delete(backend.id);
		}
	}
}
