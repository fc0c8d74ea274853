import {Collection} from '@fescuewick/store';

/** Collections that every VM follows, in the order in which their revisions travel; VMs are read at the start and learned from heartbeats afterwards. */
export const followedCollections = [Collection.configurations, Collection.backends, Collection.evacuations] as const;
