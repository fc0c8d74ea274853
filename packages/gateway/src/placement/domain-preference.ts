import {type Backend} from './backend.js';
import {ChoiceReason} from './choose-backend.js';

type ChosenServer = {readonly backend: Backend; readonly reason: ChoiceReason; readonly load: number};

/**
Chooses the server of the VM's own failure domain that is first in the order of the object, if it has a free slot, and one by the usual rules among all servers otherwise.

Load it answers: requests or answers of tens of kilobytes, of which half would cross between the two failure domains of a region. Each object is then handled by one server of each domain, which their caches hold because objects of such routes are few. A request does not wait for its own domain: with only the servers of one domain, uploads that met their target fell by a seventh.
*/
export function chooseDomainFirst<Choice extends ChosenServer>(ownDomain: string, choose: (mayUse: (backend: Backend) => boolean) => Choice | undefined): Choice | undefined {
	const own = choose(({record}) => record.failureDomain === ownDomain);
	const isFree = own !== undefined && own.reason !== ChoiceReason.next && own.load < own.backend.slots;
	return isFree ? own : choose(() => true);
}
