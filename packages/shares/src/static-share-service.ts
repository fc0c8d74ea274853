import {ShareKind, type ShareGrantsBody, type ShareRequestBody} from '@fescuewick/wire';
import {ShareService} from './share-service.js';

/** Inputs of a static division. */
export type StaticSizes = {
	/** Number of VMs that a workspace's rate is divided by. */
	readonly fleetVms: number;
	/** Number of VMs that a server's slots are divided by. */
	readonly domainVms: number;
	rateOf(workspace: string): {ratePerS: number; burst: number} | undefined;
	slotsOf(server: string): {slots: number; connections: number} | undefined;
};

const grantLifetimeMs = 4000;

/** Baseline for comparison: divides all rates and slots evenly over a fixed number of VMs. */
export class StaticShareService extends ShareService {
	readonly #sizes: () => StaticSizes;

	constructor(sizes: () => StaticSizes) {
		super();
		this.#sizes = sizes;
	}

	async request(body: ShareRequestBody): Promise<ShareGrantsBody> {
		const sizes = this.#sizes();
		const grants = body.demands.map(({kind, resource}) => {
			const rate = kind === ShareKind.rate ? sizes.rateOf(resource) : undefined;
			const server = kind === ShareKind.slots ? sizes.slotsOf(resource) : undefined;
			return {
				kind,
				resource,
				ratePerS: (rate?.ratePerS ?? 0) / sizes.fleetVms,
				burst: (rate?.burst ?? 0) / sizes.fleetVms,
				addedTokens: 0,
				slots: Math.floor((server?.slots ?? 0) / sizes.domainVms),
				connections: Math.floor((server?.connections ?? 0) / sizes.domainVms),
				expiresInMs: grantLifetimeMs,
			};
		});
		return {epoch: 0, grants};
	}

	async returnShares(): Promise<void> {
		// Static shares are not returned.
	}
}
