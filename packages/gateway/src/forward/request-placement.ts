import {boundRegionOf, allowedHomeRegions} from '../placement/homes.js';
import {Condition} from '../placement/backend.js';
import {type Placement, type PlacementFailure} from '../placement/placer.js';
import {affinityKeyOf, type AdmittedRequest} from './admitted-request.js';
import {type ForwardingContext} from './forwarding-context.js';

/** Servers that are looked at for one that is free, in the order of the object; each costs a placement. */
const maxFreeCandidates = 4;

/** Finds servers for the attempts of one request: each server at most once, and all in the region chosen for the request. */
export class RequestPlacement {
	readonly #excluded = new Set<string>();
	readonly #homes: readonly string[] | undefined;
	/** Region that the home regions bind the request to; undefined if it is not bound. */
	readonly boundRegion: string | undefined;
	#region: string | undefined;

	constructor(private readonly context: Pick<ForwardingContext, 'placer' | 'random'>, private readonly admitted: AdmittedRequest) {
		this.#homes = allowedHomeRegions(admitted.route, admitted.workspace);
		this.boundRegion = boundRegionOf(this.#homes, context.placer.region);
	}

	/** Chooses the region of a request without home regions; requests with home regions stay in them. */
	chooseRegion(): void {
		const {placer, random} = this.context;
		this.#region = this.#homes === undefined ? placer.regionFor(this.admitted.service, affinityKeyOf(this.admitted), random()) : undefined;
	}

	/** Excludes a server from further attempts. */
	exclude(server: string): void {
		this.#excluded.add(server);
	}

	/** Time until the first pause ends of a server that may run the request, in milliseconds; undefined if none asks for a pause. */
	pauseMs(): number | undefined {
		return this.context.placer.pauseMs(this.admitted.service, this.#homes);
	}

	find(): Placement | PlacementFailure {
		return this.#place(this.#excluded);
	}

	/** Finds a server that starts the request at once: one with a free slot that is not cold, limited, slow or failing. */
	findFree(nowMs: number): Placement | undefined {
		const excluded = new Set(this.#excluded);
		for (let candidate = 0; candidate < maxFreeCandidates; candidate++) {
			const placement = this.#place(excluded);
			if (typeof placement === 'string') {
				return undefined;
			}

			// The first server of an object is chosen even if the request would wait there for a short time.
			const {backend, load} = placement;
			if (load < backend.slots && backend.condition(nowMs) === Condition.ready) {
				return placement;
			}

			excluded.add(backend.id);
		}

		return undefined;
	}

	#place(excluded: ReadonlySet<string>): Placement | PlacementFailure {
		return this.context.placer.place({
			service: this.admitted.service, affinityKey: affinityKeyOf(this.admitted), homeRegions: this.#homes, boundRegion: this.boundRegion, prefersOwnDomain: this.admitted.route.hasLargeBodies, excluded, region: this.#region,
		});
	}
}
