import {FescuewickError, ResultCode} from '@fescuewick/core';
import {type ConfigurationDocument} from '@fescuewick/config';
import {type CommandContext} from '../context.js';
import {hasRevocation, sendRevocations} from '../fleet/confirmation.js';
import {findVms, mapConcurrently} from '../fleet/vms.js';

/** Sends revocations of the keys that a file no longer lists, so that they stop working within seconds even on VMs that receive the new revision late. */
export async function revokeRemovedKeys(context: CommandContext, before: ConfigurationDocument | undefined, after: ConfigurationDocument): Promise<void> {
	const hashes = hashesOnlyIn(before, after);
	if (hashes.length === 0) {
		return;
	}

	const {targets} = await findVms(context);
	const {missing} = await sendRevocations(context, targets, hashes);
	if (missing.length > 0) {
		const names = missing.map(({vm}) => vm).join(', ');
		context.output.err(`note: these VMs did not accept the revocation of the removed keys and will refuse the keys only when they have the new revision: ${names}`);
	}
}

/** Throws `configurationInvalid` for a key that is added again after its withdrawal. VMs keep revocations permanently, so the key would be accepted but never work. */
export async function refuseWithdrawnKeys(context: CommandContext, before: ConfigurationDocument | undefined, after: ConfigurationDocument): Promise<void> {
	const hashes = new Set(hashesOnlyIn(after, before));
	if (hashes.size === 0) {
		return;
	}

	const {targets} = await findVms(context);
	for (const {id, sha256} of after.keys.filter(key => hashes.has(key.sha256))) {
		const revoked = await mapConcurrently(targets, async target => hasRevocation(context, target, sha256));
		if (revoked.includes(true)) {
			throw new FescuewickError(ResultCode.configurationInvalid, `key ${id} was withdrawn and cannot be used again; remove it from the file and issue another`);
		}
	}
}

function hashesOnlyIn(first: ConfigurationDocument | undefined, second: ConfigurationDocument | undefined): string[] {
	const others = new Set(second?.keys.map(key => key.sha256));
	return (first?.keys ?? []).map(key => key.sha256).filter(hash => !others.has(hash));
}
