package linengauge.scale.fit;

/**
 * One measured point of a curve.
 *
 * @param size the independent variable: a number of fronts, a number of connections or a rate
 * @param value the cost at that size
 */
public record SizedValue(double size, double value) {}
