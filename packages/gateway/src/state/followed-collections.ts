import {Collection} from '@fescuewick/store';

/** Collections that every VM follows, in the order of their revisions in heartbeats. The collection of VMs is only read at the start; afterwards VMs are discovered by their heartbeats. */
export const followedCollections = [Collection.configurations, Collection.backends, Collection.evacuations] as const;

/** A collection that every VM follows. */
export type FollowedCollection = typeof followedCollections[number];
