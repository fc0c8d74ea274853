import {type ShareGrantsBody, type ShareRequestBody, type ShareReturnBody} from '@fescuewick/wire';

/** Grants shares of rates and backend slots to the entry daemons of a VM. */
export abstract class ShareService {
	/** Renews a holder's shares and adjusts them to its demand. */
	abstract request(body: ShareRequestBody): Promise<ShareGrantsBody>;
	/** Returns the shares of a holder that stops. */
	abstract returnShares(body: ShareReturnBody): Promise<void>;
}
