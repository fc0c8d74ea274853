import {type Backend} from './backend.js';
import {type ChoiceReason} from './choose-backend.js';

/** Inputs to the choice of a backend server for a request. */
export type PlacementRequest = {
	readonly service: string;
	/** Object that the request concerns; undefined to choose the least loaded server. */
	readonly affinityKey: string | undefined;
	readonly homeRegions: readonly string[] | undefined;
	/** The home region that the request is bound to; undefined without home regions. */
	readonly boundRegion: string | undefined;
	/** Region that steering assigned to the request; undefined for the VM's own. */
	readonly region: string | undefined;
	/** Whether a server of this VM's failure domain is preferred to others of the region. */
	readonly prefersOwnDomain?: boolean;
	/** Ids of the servers that were tried already. */
	readonly excluded: ReadonlySet<string>;
};

/** The chosen server for a request. */
export type Placement = {
	readonly backend: Backend;
	readonly reason: ChoiceReason;
	readonly load: number;
	readonly isRemote: boolean;
	/** Limit that the server named, in requests a second from all VMs; undefined without one. */
	readonly limitPerS: number | undefined;
};

/** Why no server was chosen. */
export enum PlacementFailure {
	/** All servers that may run the request are full. */
	full = 'full',
	/** No server may run the request. */
	none = 'none',
	/** The region that the request is bound to does not admit its object now, and no other region may run the request. */
	notAdmitted = 'not-admitted',
}
