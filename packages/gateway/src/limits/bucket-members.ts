/** VMs that share a bucket. */
export type BucketMembers = {
	/** Names of the VMs that share the limits, this one included. */
	readonly vms: ReadonlySet<string>;
	/** Those among them without a heartbeat for some time, which may be cut off and still admit requests. */
	readonly silent: ReadonlySet<string>;
	/** Time of the last heartbeat of any peer. */
	readonly lastHeardAtMs: number;
	/** Other VMs whose shares are pooled with this VM's; undefined without a pool. */
	readonly poolMembers?: readonly string[] | undefined;
};
