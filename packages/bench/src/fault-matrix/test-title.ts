/** Title of a test without the `packages` folder, which ava omits only if all test files of a run are in that folder. */
export function testTitle(avaTitle: string): string {
	return avaTitle.replace(/^packages › /u, '');
}
