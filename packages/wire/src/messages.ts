import {type ErrorBody, type Incarnation, type Location} from '@fescuewick/core';
import {
	type ClaimAnswersBody, type ClaimCompleteBody, type ClaimReleaseBody, type ClaimReplyBody, type ClaimRequestBody,
} from './claim-messages.js';
import {type LoadEntry, type VmRecord} from './records.js';
import {type ShiftGrantBody, type ShiftRequestBody} from './shift-messages.js';
import {
	type LoanBound, type SliceDemandBody, type SliceLoanBody, type SliceLoansBody,
} from './slice-messages.js';
import {type SnapshotDeltaBody} from './snapshot/snapshot-messages.js';

/** Message types of frames between the system's processes; the numbers are part of the protocol. */
export enum MessageType {
	reply = 1,
	errorReply = 2,
	hello = 3,
	heartbeat = 4,
	goodbye = 5,

	configHead = 10,
	configPartRequest = 11,
	revocations = 12,
	memberDigest = 13,
	configHeadRequest = 14,
	platformList = 15,
	platformListRequest = 16,
	configHeadDelta = 17,

	shareRequest = 20,
	shareReturn = 21,
	sliceDemand = 22,
	sliceLoan = 23,

	claimRequest = 30,
	claimComplete = 31,
	claimRelease = 32,
	claimAnswers = 33,

	shiftRequest = 40,
	loadReport = 41,
	domainLoads = 42,
	loadsRequest = 43,

	subscribe = 50,
	drainState = 52,
	snapshotDelta = 53,
}

/** Kind of process at an end of a link. */
export enum Role {
	control = 'control',
	entry = 'entry',
	lookup = 'lookup',
	client = 'client',
}

/** First frame on each link, in both directions. */
export type HelloBody = {
	readonly role: Role;
	readonly location: Location;
	readonly incarnation: Incarnation;
};

/** Sent on every link at a fixed interval. */
export type HeartbeatBody = {
	readonly revision: number;
	readonly freshnessAgeMs: number | undefined;
	readonly storeReachable: boolean;
	/** Highest allocator epoch known, by bucket. */
	readonly epochs?: Readonly<Record<string, number>>;
	/** Digest of the sender's set of revoked keys; equal sets have equal digests. */
	readonly keySummary?: number;
	/** Sequence number of this heartbeat on its link. */
	readonly sequence?: number;
	/** Sequence of the last heartbeat received from the peer; `echoHeldMs` is the time since its arrival. */
	readonly echo?: number;
	readonly echoHeldMs?: number;
	/** Set by the receiving link: upper bound of this heartbeat's transit time; undefined if not known. */
	readonly transitMs?: number;
};

/** Head of the configuration as relayed between peers. */
export type ConfigHeadBody = {
	readonly revision: number;
	readonly parts: Readonly<Record<string, string>>;
	readonly recentChanges: ReadonlyArray<{readonly changeId: string; readonly revision: number; readonly author: string; readonly summary: string}>;
	readonly freshnessAgeMs: number | undefined;
};

/** Change of the configuration's head, relayed to a node that holds revision `fromRevision`. */
export type ConfigHeadDeltaBody = {
	readonly fromRevision: number;
	readonly revision: number;
	/** Hashes of the parts that differ; undefined for a part that was removed. */
	readonly parts: Readonly<Record<string, string | undefined>>;
};

/** Requests a section of an immutable configuration part from a peer; parts may be longer than a frame. */
export type ConfigPartRequestBody = {readonly hash: string; readonly offsetBytes: number};
/** Answer to a part request: UTF-8 bytes from the offset on; `content` is undefined when the peer does not hold the part. */
export type ConfigPartReplyBody = {readonly hash: string; readonly content: Uint8Array | undefined; readonly sizeBytes: number};

/** SHA-256 hashes of revoked keys; receivers add them to their set. */
export type RevocationsBody = {readonly keyHashes: readonly string[]};

/** Members a peer knows, with their incarnations. */
export type MemberDigestBody = {
	readonly members: ReadonlyArray<{
		readonly record: VmRecord;
		/** Number of times the member itself has changed the record. */
		readonly recordSequence?: number;
		readonly incarnation: Incarnation | undefined;
		/** Time since the latest evidence that this incarnation was alive. */
		readonly heardAgeMs: number;
		readonly dead?: boolean;
	}>;
	/** Digest of the sender's members by failure domain; a receiver answers with its members of the failure domains that differ. */
	readonly summary?: Readonly<Record<string, number>>;
};

/** One of the platform's lists at a version of the store, relayed within a failure domain. */
export type PlatformListBody = {readonly key: string; readonly version: number; readonly value: unknown};
/** Requests the lists that are newer than the given versions, by key. */
export type PlatformListRequestBody = {readonly versions: Readonly<Record<string, number>>};

/** Kind of resource that allocators distribute by leased grants. */
export enum ShareKind {
	rate = 'rate',
	slots = 'slots',
}

/** Share of a resource that a holder has at the time it sends a request. */
export type ShareHeld = {
	/** Epoch and sequence of the grant in force. */
	readonly epoch: number;
	readonly sequence: number;
	readonly ratePerS: number;
	readonly burst: number;
	/** Granted slots, or the slots in use if more are still in use. */
	readonly slots: number;
	/** Granted connections, or the open connections if more are still open. */
	readonly connections: number;
	/** Tokens the holder gave up when it applied this grant. */
	readonly surrenderedTokens: number;
	/** As in the grant in force, with the time left. */
	readonly loan?: LoanBound;
};

/** Demand of a holder for one resource; `resource` is a workspace for rates and a server for slots. */
export type ShareDemand = {
	readonly kind: ShareKind;
	readonly resource: string;
	/** Requests per second for rates, wanted slots for slots. */
	readonly wanted: number;
	/** Tokens left in the holder's bucket; 0 for slots. */
	readonly tokens: number;
	/** The share in force; undefined if the holder has none. */
	readonly held?: ShareHeld;
	/** Highest allocator epoch the holder has seen for the resource. */
	readonly seenEpoch?: number;
};

/** Fences off earlier allocators of a bucket; the sender is about to allocate it under `epoch`. */
export type ShareFence = {readonly bucket: number; readonly epoch: number};

/** Lease of one holder in an allocator's accounts, including grants that may still be in transit. */
export type ShareLease = {
	readonly holder: string;
	readonly wanted: number;
	readonly ratePerS: number;
	readonly burst: number;
	readonly slots: number;
	readonly connections: number;
	/** Time from the sending of this message until the last grant is treated as expired. */
	readonly expiresInMs: number;
};

/** Accounts of one resource; `ratePerS` and `burst` are what the failure domain owns. */
export type ShareAccount = {
	readonly kind: ShareKind;
	readonly resource: string;
	readonly ratePerS: number;
	readonly burst: number;
	/** Tokens of the failure domain that are not granted to any holder. */
	readonly tokens: number;
	readonly leases: readonly ShareLease[];
};

/** Hands a bucket over to another allocator; the sender makes no more grants from it. */
export type ShareHandover = {
	readonly bucket: number;
	readonly epoch: number;
	/** All accounts; undefined if the sender does not know them all itself. */
	readonly accounts?: readonly ShareAccount[];
};

/** Renews shares and reports demand; sent every second by a holder. */
export type ShareRequestBody = {
	readonly holder: string;
	readonly epoch: number;
	readonly demands: readonly ShareDemand[];
	/** Set by a control daemon that takes over a bucket; refused if the answer's epoch is higher. */
	readonly fence?: ShareFence;
	/** Set by an allocator that stops; the answer names the VM that took over the bucket. */
	readonly handover?: ShareHandover;
};

/** A leased share of a resource. */
export type ShareGrant = {
	readonly kind: ShareKind;
	readonly resource: string;
	readonly ratePerS: number;
	readonly burst: number;
	/** Tokens credited with this grant, in addition to those the holder has. */
	readonly addedTokens: number;
	readonly slots: number;
	readonly connections: number;
	readonly expiresInMs: number;
	/** Allocator epoch of the grant; holders reject grants of an epoch lower than the highest they have seen. */
	readonly epoch?: number;
	/** Increases with each grant of an allocator to a holder. */
	readonly sequence?: number;
	/** Set while the share is about to change: time after which the holder renews it, ahead of the regular interval. */
	readonly renewInMs?: number;
	/** Set while the failure domain uses loans from other failure domains. */
	readonly loan?: LoanBound;
};

/** The VM that allocates a bucket in its failure domain; `incarnation` is that of its control daemon. */
export type ShareAllocator = {readonly bucket: number; readonly vm: string; readonly incarnation: string; readonly epoch: number};

/** Answer to a share request. */
export type ShareGrantsBody = {
	readonly epoch: number;
	readonly grants: readonly ShareGrant[];
	/** Allocators of buckets that the answering VM does not allocate; all that it knows if no demand was sent. */
	readonly allocators?: readonly ShareAllocator[];
};

/** Returns shares to their allocator, for example at shutdown. */
export type ShareReturnBody = {readonly holder: string; readonly epoch: number; readonly returned: ReadonlyArray<{readonly kind: ShareKind; readonly resource: string; readonly tokens: number}>};

/** Load of one VM: from its entry daemon to its control daemon, and from there to the aggregator of its failure domain. */
export type LoadReportBody = {readonly entries: readonly LoadEntry[]};

/** Sum of the loads of a failure domain's VMs. */
export type DomainLoad = {
	readonly failureDomain: string;
	readonly region: string;
	/** Identifies the process that computed the sum; sums from different sources replace each other and are never added. */
	readonly source: number;
	/** Increases with each sum of a source. */
	readonly sequence: number;
	/** Number of VMs included in the sum. */
	readonly vms: number;
	/** One entry for each service. */
	readonly entries: readonly LoadEntry[];
};

/** Sums of failure domains, from an aggregator to those of other failure domains and along the relay tree of its own. */
export type DomainLoadsBody = {readonly sums: readonly DomainLoad[]};

/** Progress of a daemon's shutdown. */
export type DrainStateBody = {
	readonly draining: boolean;
	readonly inFlight: number;
	/** Set by a daemon that is shutting down: time within which it exits. */
	readonly endsWithinMs?: number;
};

/** Bodies by message type. */
export type MessageBodies = {
	[MessageType.reply]: unknown;
	[MessageType.errorReply]: ErrorBody;
	[MessageType.hello]: HelloBody;
	[MessageType.heartbeat]: HeartbeatBody;
	[MessageType.goodbye]: {readonly reason: string};
	[MessageType.configHead]: ConfigHeadBody;
	[MessageType.configHeadDelta]: ConfigHeadDeltaBody;
	[MessageType.configPartRequest]: ConfigPartRequestBody;
	[MessageType.configHeadRequest]: Readonly<Record<string, never>>;
	[MessageType.platformList]: PlatformListBody;
	[MessageType.platformListRequest]: PlatformListRequestBody;
	[MessageType.revocations]: RevocationsBody;
	[MessageType.memberDigest]: MemberDigestBody;
	[MessageType.shareRequest]: ShareRequestBody;
	[MessageType.shareReturn]: ShareReturnBody;
	[MessageType.sliceDemand]: SliceDemandBody;
	[MessageType.sliceLoan]: SliceLoanBody;
	[MessageType.claimRequest]: ClaimRequestBody;
	[MessageType.claimComplete]: ClaimCompleteBody;
	[MessageType.claimRelease]: ClaimReleaseBody;
	[MessageType.claimAnswers]: ClaimAnswersBody;
	[MessageType.shiftRequest]: ShiftRequestBody;
	[MessageType.loadReport]: LoadReportBody;
	[MessageType.domainLoads]: DomainLoadsBody;
	[MessageType.loadsRequest]: Readonly<Record<string, never>>;
	[MessageType.subscribe]: {readonly role: Role};
	[MessageType.snapshotDelta]: SnapshotDeltaBody;
	[MessageType.drainState]: DrainStateBody;
};

/** Answers by type of request. */
export type ReplyBodies = {
	[MessageType.configPartRequest]: ConfigPartReplyBody;
	[MessageType.configHead]: {readonly revision: number};
	[MessageType.configHeadDelta]: {readonly revision: number};
	[MessageType.configHeadRequest]: ConfigHeadBody;
	[MessageType.platformList]: {readonly version: number};
	[MessageType.platformListRequest]: {readonly lists: readonly PlatformListBody[]};
	[MessageType.revocations]: {readonly known: number};
	[MessageType.shareRequest]: ShareGrantsBody;
	[MessageType.shareReturn]: {readonly accepted: boolean};
	[MessageType.sliceDemand]: {readonly accepted: boolean};
	[MessageType.sliceLoan]: SliceLoansBody;
	[MessageType.claimRequest]: ClaimReplyBody;
	[MessageType.claimComplete]: {readonly accepted: boolean};
	[MessageType.claimRelease]: {readonly accepted: boolean};
	[MessageType.claimAnswers]: {readonly accepted: boolean};
	[MessageType.shiftRequest]: ShiftGrantBody;
	[MessageType.loadReport]: Readonly<Record<string, never>>;
	[MessageType.domainLoads]: Readonly<Record<string, never>>;
	[MessageType.loadsRequest]: {readonly entries: readonly LoadEntry[]};
	[MessageType.subscribe]: {readonly controlIncarnation: string};
};

/** Message types that get a reply. */
export type RequestType = keyof ReplyBodies;
