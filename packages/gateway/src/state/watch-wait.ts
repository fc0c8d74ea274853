import {Collection, maxAnswerMs} from '@fescuewick/store';
import {type FollowedCollection} from './followed-collections.js';

/**
Longest time for which a connection to the store that has gone silent may stay unnoticed, by collection, in milliseconds.

The rules of the deployments so far disregard 3 s after connections went silent; a change after that must be known 2.5 s later, and take effect. A second of that is left to relay a change to the VMs that do not read the store. Servers whose entries may have expired are used for nearly 2 s more, so their removals must be learned sooner.
*/
const maxSilenceMs: Readonly<Record<FollowedCollection, number>> = {
	[Collection.configurations]: 4500,
	[Collection.backends]: 3000,
	[Collection.evacuations]: 4500,
};

/** Wait of the next watch of a collection, in milliseconds; `random` in [0, 1) spreads the watches of different VMs over a quarter of it. */
export function watchWaitMs(collection: FollowedCollection, random: number): number {
	return Math.round((maxSilenceMs[collection] - maxAnswerMs) * (1 - (random / 4)));
}
