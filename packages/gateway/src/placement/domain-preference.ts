import {partition} from 'es-toolkit';
import {type Backend} from './backend.js';

/**
Chooses among the servers of the VM's own failure domain, and among the others only if none of those can accept the request.

Load it answers: requests or answers of tens of kilobytes. Without the preference, half of them cross between the two failure domains of a region. Each object is then handled by one server of each domain, which caches hold because objects of such routes are few; other routes have too many objects for that.
*/
export function chooseDomainFirst<Choice>(backends: readonly Backend[], ownDomain: string, choose: (servers: readonly Backend[]) => Choice | undefined): Choice | undefined {
	const [own, others] = partition(backends, ({record}) => record.failureDomain === ownDomain);
	return choose(own) ?? choose(others);
}
