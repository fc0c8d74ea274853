/** Prefix of the platform's lists of VMs in the store; one object per failure domain, each an array of `VmRecord`. */
export const vmListPrefix = 'platform/vms/';
/** Prefix of the platform's lists of backend servers; one object per failure domain, each an array of `BackendRecord`. */
export const backendListPrefix = 'platform/backends/';

/** Key of the list of VMs of a failure domain. */
export function vmListKey(failureDomain: string): string {
	return `${vmListPrefix}${failureDomain}`;
}

/** Key of the list of backend servers of a failure domain. */
export function backendListKey(failureDomain: string): string {
	return `${backendListPrefix}${failureDomain}`;
}
