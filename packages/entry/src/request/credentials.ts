import {FescuewickError, ResultCode} from '@fescuewick/core';
import {Access, staleKeysServeMs} from '@fescuewick/config';
import {type CompiledConfiguration, type FleetView} from '../view/fleet-view.js';
import {keyDigest} from '../view/keys.js';
import {type RouteMatch} from '../view/route-table.js';
import {readKey} from './headers.js';

/** Workspace name for requests of open routes; no configured workspace can have it. */
export const openWorkspace = '~open';

/** Workspace and key of a request. */
export type Credentials = {
	readonly workspace: string;
	/** SHA-256 of the key; undefined on open routes. */
	readonly digestHex: string | undefined;
	/** Checks whether the key is still valid; throws like `checkCredentials`. */
	readonly recheck: () => void;
	/** Whether a header value contains a key. */
	readonly containsKey: (value: string) => boolean;
};

/** Authenticates a request; throws `keyMissing`, `keyUnknown`, `keyWithdrawn`, `keysStale`, `workspaceUnknown` or `duplicateKeyHeader`. */
export function checkCredentials(view: FleetView, match: RouteMatch, rawHeaders: readonly string[]): Credentials {
	if (match.route.access === Access.open) {
		return {
			workspace: openWorkspace, digestHex: undefined, recheck() {/* Nothing to check. */}, containsKey: value => containsIssuedKey(view, value),
		};
	}

	const key = readKey(rawHeaders);
	if (key === undefined) {
		throw new FescuewickError(ResultCode.keyMissing, 'the route needs a key and none was given');
	}

	const digest = keyDigest(key);
	const digestHex = digest.toString('hex');
	const resolveWorkspace = () => {
		if (view.revoked.has(digestHex)) {
			throw new FescuewickError(ResultCode.keyWithdrawn, 'the key was withdrawn');
		}

		const workspace = view.configuration?.keys.workspaceOf(digest);
		if (workspace === undefined) {
			throw new FescuewickError(ResultCode.keyUnknown, 'the key is not known');
		}

		if (view.keysAgeMs() >= staleKeysServeMs(match.settings)) {
			throw new FescuewickError(ResultCode.keysStale, 'the VM cannot confirm that keys are still valid', {retryAfterMs: 1000});
		}

		return workspace;
	};

	const workspace = resolveWorkspace();
	if (!view.configuration!.workspaces.has(workspace)) {
		throw new FescuewickError(ResultCode.workspaceUnknown, 'the workspace of the key is not configured');
	}

	return {
		workspace,
		digestHex,
		recheck() {
			if (resolveWorkspace() !== workspace) {
				throw new FescuewickError(ResultCode.keyUnknown, 'the key was moved to another workspace');
			}
		},
		containsKey: value => value.includes(key) || (value.includes('%') && decodedIncludes(value, key)),
	};
}

/** Whether a string is an issued or revoked key. */
export function isIssuedKey(view: FleetView, configuration: CompiledConfiguration, text: string): boolean {
	const digest = keyDigest(text);
	return configuration.keys.workspaceOf(digest) !== undefined || view.revoked.has(digest.toString('hex'));
}

/** Whether a token of a header value, split as in cookies and authorization headers, is an issued or revoked key. */
function containsIssuedKey(view: FleetView, value: string): boolean {
	const {configuration} = view;
	return configuration !== undefined && value.length <= 4096
		&& value.split(/[\s,;="]+/).some(part => part.length >= 8 && isIssuedKey(view, configuration, part));
}

function decodedIncludes(value: string, key: string): boolean {
	try {
		return decodeURIComponent(value).includes(key);
	} catch {
		return false;
	}
}
