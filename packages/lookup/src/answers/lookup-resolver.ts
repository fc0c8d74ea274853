import {documentSchema, type ConfigurationDocument} from '@fescuewick/config';
import {
	DecisionKind, FescuewickError, logDecision, ResultCode, type Location, type Logger, type TimerService,
} from '@fescuewick/core';
import {type ShiftGrantBody, type ShiftRequestBody, type SnapshotBody} from '@fescuewick/wire';
import {type ClientBlock} from '../blocks/address.js';
import {type BlockTable} from '../blocks/block-table.js';
import {buildFleet, type Fleet} from '../fleet/fleet.js';
import {blockPosition} from '../shifts/placement.js';
import {ShiftController, shiftStepMs, type ShiftDecision} from '../shifts/shift-controller.js';
import {AnswerTable, EndpointLists, type Answer} from './answer-table.js';

/** Maximum time to live of answers while a drain or shift is in progress. */
export const transitionTtlMs = 2000;
/** Time after which a client may retry a look-up that was rejected for lack of capacity. */
export const noCapacityRetryMs = 2000;
/** For this long after a change of the fleet, the time to live of answers is at most `transitionTtlMs`. */
const fleetTransitionMs = 60_000;
/** Decisions older than this are recomputed before they are used, for example after a pause of the process. */
const maxDecisionAgeMs = 3 * shiftStepMs;

/** Dependencies and settings of the resolver. */
export type LookupResolverOptions = {
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly location: Location;
	readonly lookupTtlMs: number;
	readonly nearestRegions: Readonly<Record<string, readonly string[]>>;
	readonly blocks: BlockTable;
};

/** An answer with the home region of the client. */
export type ResolvedAnswer = {readonly answer: Answer; readonly home: string};

/** Resolves look-ups to answers from tables that are rebuilt when the snapshot or a shift changes. */
export class LookupResolver {
	readonly controller: ShiftController;
	readonly #options: LookupResolverOptions;
	readonly #tables = new Map<string, Map<string, AnswerTable>>();
	#document: ConfigurationDocument | undefined;
	#revision = 0;
	#fleet: Fleet | undefined;
	#lists: EndpointLists | undefined;
	#fleetChangedAtMs = Number.NEGATIVE_INFINITY;
	#steppedAtMs = Number.NEGATIVE_INFINITY;
	#requests: readonly ShiftRequestBody[] = [];
	readonly #lastLogged = new Map<string, string>();
	/** Called with the decisions of each step. */
	onStep: ((decisions: readonly ShiftDecision[]) => void) | undefined;

	constructor(options: LookupResolverOptions) {
		this.#options = options;
		const {timers, location, lookupTtlMs, nearestRegions} = options;
		this.controller = new ShiftController({
			timers, lookupTtlMs, nearestRegions, failureDomain: location.failureDomain, region: location.region,
		});
	}

	get isReady(): boolean {
		return this.#lists !== undefined;
	}

	get revision(): number {
		return this.#revision;
	}

	/** Shift requests of the last step. */
	get requests(): readonly ShiftRequestBody[] {
		return this.#requests;
	}

	/** Applies a snapshot and steps; with an invalid configuration only its members, loads and grants are applied. */
	update(snapshot: SnapshotBody): void {
		if (this.#document === undefined || snapshot.revision > this.#revision) {
			const parsed = documentSchema.safeParse(snapshot.configuration);
			if (parsed.success) {
				this.#document = parsed.data;
				this.#revision = snapshot.revision;
			} else {
				this.#options.logger.error({revision: snapshot.revision, problem: parsed.error.issues[0].message}, 'ignored invalid configuration in the snapshot');
			}
		}

		if (this.#document === undefined) {
			return;
		}

		this.controller.addLoads(snapshot.loads);
		this.controller.addGrants(snapshot.shiftGrants);
		const fleet = keepKnownRegions(buildFleet(snapshot, this.#document), this.#fleet);
		const incarnation = snapshot.controlIncarnation;
		if (fleet.signature !== this.#fleet?.signature || incarnation !== this.#lists?.ownControlDaemon.incarnation) {
			if (this.#fleet !== undefined) {
				this.#fleetChangedAtMs = this.#options.timers.nowMs();
			}

			this.#fleet = fleet;
			this.#lists = new EndpointLists(fleet, {vm: this.#options.location.vm, incarnation});
			this.#tables.clear();
		}

		this.controller.configure(this.#fleet, this.#document);
		this.step();
	}

	/** Steps the shifts and replaces the answer tables whose input changed. */
	step(): void {
		if (this.#lists === undefined) {
			return;
		}

		this.#steppedAtMs = this.#options.timers.nowMs();
		const {decisions, requests} = this.controller.step();
		this.#requests = requests;
		const services = new Set(decisions.map(decision => decision.service));
		for (const service of this.#tables.keys()) {
			if (!services.has(service)) {
				this.#tables.delete(service);
			}
		}

		for (const decision of decisions) {
			this.#updateTable(decision);
		}

		this.onStep?.(decisions);
	}

	/** Stores the grant that answers a shift request, and the fraction and demand estimate of other VMs. */
	addGrant({service, fromRegion, toDomain}: ShiftRequestBody, {grantedPerS, movedFraction, demandPerS}: ShiftGrantBody, expiresAtMs: number): void {
		const toRegion = this.#regionOf(toDomain);
		if (toRegion !== undefined) {
			this.controller.shift(service, fromRegion).adopt(toDomain, movedFraction, demandPerS);
			this.controller.measurements.addGrant(service, fromRegion, {
				toDomain, toRegion, grantedPerS, expiresAtMs,
			});
		}
	}

	/** The answer for a client; throws `lookupNotReady` or `serviceUnknown`. */
	answerFor(service: string, block: ClientBlock): ResolvedAnswer {
		if (this.#options.timers.nowMs() - this.#steppedAtMs > maxDecisionAgeMs) {
			this.step();
		}

		if (this.#lists === undefined) {
			throw new FescuewickError(ResultCode.lookupNotReady, 'the look-up daemon has no configuration yet');
		}

		const tables = this.#tables.get(service);
		if (tables === undefined) {
			throw new FescuewickError(ResultCode.serviceUnknown, `service ${service} is not configured`);
		}

		const match = this.#options.blocks.match(block);
		const ownRegion = this.#options.location.region;
		const home = match === undefined || !tables.has(match.region) ? ownRegion : match.region;
		const table = tables.get(home);
		if (table === undefined) {
			throw new FescuewickError(ResultCode.lookupNotReady, `region ${home} has no entry VMs yet`);
		}

		return {answer: table.answerFor(blockPosition(block, match?.prefixLength ?? 0)), home};
	}

	#regionOf(failureDomain: string): string | undefined {
		for (const region of this.#fleet?.regions.values() ?? []) {
			if (region.domains.includes(failureDomain)) {
				return region.name;
			}
		}

		return undefined;
	}

	#updateTable(decision: ShiftDecision): void {
		const {service, home, allocations, homeFraction} = decision;
		const tables = this.#tables.get(service) ?? new Map<string, AnswerTable>();
		this.#tables.set(service, tables);
		const isChanging = decision.isChanging || this.#steppedAtMs - this.#fleetChangedAtMs < fleetTransitionMs;
		const {lookupTtlMs} = this.#options;
		const input = {
			service, home, allocations, homeFraction, ttlMs: isChanging ? Math.min(transitionTtlMs, lookupTtlMs) : lookupTtlMs, retryAfterMs: noCapacityRetryMs,
		};
		const current = tables.get(home);
		if (current?.revision !== this.#revision || JSON.stringify(current.input) !== JSON.stringify(input)) {
			tables.set(home, new AnswerTable(input, this.#lists!, this.#revision));
		}

		this.#logChange(decision);
	}

	/** Logs a decision if it differs from the last logged one; an initial decision without any shift is not logged. */
	#logChange({service, home, state, totalFraction, homeFraction, allocations, reason}: ShiftDecision): void {
		const fractions = Object.fromEntries(allocations.filter(allocation => allocation.fraction > 0).map(allocation => [allocation.domain, Math.round(allocation.fraction * 10_000) / 10_000]));
		const text = JSON.stringify([state, homeFraction, fractions]);
		const key = `${service}/${home}`;
		if (text === this.#lastLogged.get(key) || (totalFraction === 0 && homeFraction === 1 && !this.#lastLogged.has(key))) {
			return;
		}

		this.#lastLogged.set(key, text);
		logDecision(this.#options.logger, DecisionKind.shift, reason, {
			service, home, state, homeFraction, moved: fractions,
		});
	}
}

/** Keeps regions that no longer have members, so that their clients are not sent to other regions without grants. */
function keepKnownRegions(fleet: Fleet, previous: Fleet | undefined): Fleet {
	const missing = [...(previous?.regions.values() ?? [])].filter(region => !fleet.regions.has(region.name));
	if (missing.length === 0) {
		return fleet;
	}

	const regions = new Map(fleet.regions);
	for (const {name, domains} of missing) {
		regions.set(name, {
			name, domains, eligibleVms: [], isServing: false, isDrained: false,
		});
	}

	return {...fleet, regions: new Map([...regions].sort(([a], [b]) => (a < b ? -1 : 1))), signature: `${fleet.signature}+${missing.map(region => region.name).join('+')}`};
}
