import {boundRegionOf, allowedHomeRegions} from '../placement/homes.js';
import {type Placement, type PlacementFailure} from '../placement/placer.js';
import {affinityKeyOf, type AdmittedRequest} from './admitted-request.js';
import {type ForwardingContext} from './forwarding-context.js';

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
		return this.context.placer.place({
			service: this.admitted.service, affinityKey: affinityKeyOf(this.admitted), homeRegions: this.#homes, boundRegion: this.boundRegion, prefersOwnDomain: this.admitted.route.hasLargeBodies, excluded: this.#excluded, region: this.#region,
		});
	}
}
