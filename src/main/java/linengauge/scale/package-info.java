/**
 * Measurements of what each role costs against the size of the fleet: results as JSON files, fits
 * over them, and the tables of docs/CAPACITY.md printed from them.
 */
package linengauge.scale;
