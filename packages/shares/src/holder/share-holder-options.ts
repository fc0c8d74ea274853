import {type PauseDetector, type TimerService} from '@fescuewick/core';
import {type ShareGrantsBody, type ShareRequestBody, type ShareReturnBody} from '@fescuewick/wire';

/** Receiver of a holder's requests. */
export type ShareSource = {
	request(body: ShareRequestBody): Promise<ShareGrantsBody>;
	returnShares(body: ShareReturnBody): Promise<void>;
};

/** Use of a backend server by this process: in-flight requests, open connections, and queued requests. */
export type SlotUse = {readonly server: string; readonly inFlight: number; readonly connections: number; readonly queued: number};

/** Options of a share holder. */
export type ShareHolderOptions = {
	/** Identity of this incarnation of the entry process. */
	readonly holder: string;
	readonly timers: TimerService;
	readonly pauses: PauseDetector;
	readonly source: ShareSource;
	/** Current use of the backend servers' slots, for callers that count it themselves. */
	readonly use?: () => Iterable<SlotUse>;
	/** Called with the number of grants in an answer after they were applied. */
	readonly onGrants?: (count: number) => void;
	/** Called when the grant for a server has ended with requests in flight or connections open; they must be ended at once. */
	readonly onSlotsLost?: (server: string) => void;
	/** Called with each failed request. */
	readonly onError?: (error: unknown) => void;
};
