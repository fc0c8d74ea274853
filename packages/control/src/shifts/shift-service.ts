import {
	DecisionKind, FescuewickError, logDecision, PauseDetector, rendezvousOrder, ResultCode, type Cancel, type Logger, type TimerService,
} from '@fescuewick/core';
import {MemberState, type PeerNetwork} from '@fescuewick/membership';
import {
	MessageType, type HeldShiftGrant, type ShiftGrantBody, type ShiftRequestBody,
} from '@fescuewick/wire';
import {type LoadReports} from './load-reports.js';
import {grantOutstandingMs, ShiftGrantor} from './shift-grantor.js';

const requestTimeoutMs = 800;
/** Time within which all nodes detect the failure of a grantor; a successor waits this long in addition to the time for which grants are held. */
const failureDetectionMs = 3000;
/** Changes of a grant by less than this fraction are not logged. */
const loggedChangeFraction = 0.05;

type HeldGrant = {readonly request: ShiftRequestBody; readonly toRegion: string; readonly grantedPerS: number; readonly expiresAtMs: number};

/** Dependencies of a shift service. */
export type ShiftServiceOptions = {
	readonly peers: PeerNetwork;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly loads: LoadReports;
};

/** Handles shift grants on a control daemon: forwards requests of its look-up daemon to the grantor of the receiving failure domain, and grants shifts to its own failure domain. */
export class ShiftService {
	readonly #options: ShiftServiceOptions;
	readonly #grantor: ShiftGrantor;
	readonly #pauseDetector: PauseDetector;
	readonly #heldGrants = new Map<string, HeldGrant>();
	/** Time since which this VM has been the grantor without interruption, by service. */
	readonly #grantorSinceMs = new Map<string, number>();
	readonly #loggedGrantsPerS = new Map<string, number>();
	readonly #cancel: Cancel;

	constructor(options: ShiftServiceOptions) {
		const {peers, timers, loads} = options;
		this.#options = options;
		this.#grantor = new ShiftGrantor({timers, load: service => loads.loadOfOwnDomain(service)});
		this.#pauseDetector = new PauseDetector(timers);
		this.#pauseDetector.onPause(() => {
			// A successor may have granted shifts during the pause.
			this.#grantorSinceMs.clear();
			this.#heldGrants.clear();
		});
		peers.handle(MessageType.shiftRequest, async (body, from) => this.#grant(body, from.vm));
		this.#cancel = peers.onChange(() => {
			for (const service of this.#grantorSinceMs.keys()) {
				if (this.#grantorOf(service, peers.self.failureDomain) !== peers.self.vm) {
					this.#grantorSinceMs.delete(service);
				}
			}
		});
	}

	/** Forwards a request of the look-up daemon to the grantor of the receiving failure domain; rejects with `notReady`, or as `PeerNetwork.request` does. */
	async request(body: ShiftRequestBody): Promise<ShiftGrantBody> {
		const {peers, timers} = this.#options;
		const vm = this.#grantorOf(body.service, body.toDomain);
		if (vm === undefined) {
			throw new FescuewickError(ResultCode.notReady, `no live VM in failure domain ${body.toDomain}`);
		}

		const sentAtMs = timers.nowMs();
		const grant = await peers.request(vm, MessageType.shiftRequest, body, requestTimeoutMs);
		const toRegion = peers.members().find(member => member.record.vm === vm)!.record.region;
		this.#heldGrants.set(`${body.service}/${body.fromRegion}/${body.toDomain}`, {
			request: body, toRegion, grantedPerS: grant.grantedPerS, expiresAtMs: sentAtMs + grant.expiresInMs,
		});
		// The lifetime starts when the request was sent, so that the grant expires at its holder before it does at the grantor.
		return {...grant, expiresInMs: Math.max(0, sentAtMs + grant.expiresInMs - timers.nowMs())};
	}

	/** Grants that have not expired, for snapshots. */
	grants(): HeldShiftGrant[] {
		const nowMs = this.#options.timers.nowMs();
		return [...this.#heldGrants.values()].filter(held => held.expiresAtMs > nowMs).map(({request, toRegion, grantedPerS, expiresAtMs}) => ({
			service: request.service, fromRegion: request.fromRegion, toDomain: request.toDomain, toRegion, grantedPerS, expiresInMs: expiresAtMs - nowMs,
		}));
	}

	stop(): void {
		this.#pauseDetector.stop();
		this.#cancel();
	}

	#grant(body: ShiftRequestBody, holder: string): ShiftGrantBody {
		const {peers, timers, logger} = this.#options;
		this.#pauseDetector.check();
		if (body.toDomain !== peers.self.failureDomain || this.#grantorOf(body.service, body.toDomain) !== peers.self.vm) {
			throw new FescuewickError(ResultCode.notReady, `this VM does not grant shifts of ${body.service} to ${body.toDomain}`);
		}

		const nowMs = timers.nowMs();
		const grantorSinceMs = this.#grantorSinceMs.get(body.service) ?? nowMs;
		this.#grantorSinceMs.set(body.service, grantorSinceMs);
		const isNewGrantor = nowMs - grantorSinceMs < grantOutstandingMs + failureDetectionMs;
		const grant = this.#grantor.request(body, `${body.fromDomain}/${holder}`, isNewGrantor);
		const key = `${body.service}/${body.fromRegion}/${holder}`;
		if (Math.abs(grant.grantedPerS - (this.#loggedGrantsPerS.get(key) ?? 0)) > loggedChangeFraction * grant.grantedPerS) {
			this.#loggedGrantsPerS.set(key, grant.grantedPerS);
			logDecision(logger, DecisionKind.shift, isNewGrantor ? 'renewed' : 'granted', {
				service: body.service, fromRegion: body.fromRegion, holder, wantedPerS: body.wantedPerS, grantedPerS: grant.grantedPerS,
			});
		}

		return grant;
	}

	#grantorOf(service: string, failureDomain: string): string | undefined {
		const live = this.#options.peers.members()
			.filter(member => member.record.failureDomain === failureDomain && member.state === MemberState.alive)
			.map(member => member.record.vm);
		return rendezvousOrder(`shift/${service}/${failureDomain}`, live)[0];
	}
}
