package linengauge.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import linengauge.Deployment;
import linengauge.PackageSettings;
import linengauge.Span;

/**
 * The settings that a front is given when it starts, in the simulator's names and units, read once;
 * values that are not used are dropped. The names of packages, buildings and kinds serve transports
 * that receive names where the simulator gives numbers.
 */
public record Settings(
    Deployment deployment,
    List<String> packageNames,
    List<String> buildingNames,
    List<String> kindNames,
    Span dialTimeout,
    Span idleCloseAfter,
    Span longestTimeLimit) {

  /** Throws where a value has the wrong type; an absent value means none. */
  public static Settings read(Map<?, ?> config) throws InvalidSettingsException {
    Map<?, ?> limits = map(config, "policyLimits");
    Span longestTimeLimit = Span.NONE;
    List<String> packageNames = new ArrayList<>();
    if (config.get("requestClasses") instanceof List<?> classes) {
      for (Object one : classes) {
        if (one instanceof Map<?, ?> requestClass) {
          packageNames.add(String.valueOf(requestClass.get("name")));
          longestTimeLimit = longestTimeLimit.max(span(requestClass, "deadlineUs"));
        }
      }
    }
    return new Settings(
        deployment(config),
        List.copyOf(packageNames),
        names(config, "localities"),
        names(config, "kinds"),
        span(limits, "dialTimeoutUs"),
        span(limits, "idleCloseUs"),
        longestTimeLimit);
  }

  private static List<String> names(Map<?, ?> from, String key) {
    List<String> names = new ArrayList<>();
    if (from.get(key) instanceof List<?> list) {
      list.forEach(one -> names.add(String.valueOf(one)));
    }
    return List.copyOf(names);
  }

  private static Deployment deployment(Map<?, ?> config) throws InvalidSettingsException {
    Map<?, ?> domain = map(config, "domain");
    Map<?, ?> limits = map(config, "policyLimits");
    Map<?, ?> rules = map(config, "guarantees");
    Map<?, ?> charges = map(config, "charges");
    Map<?, ?> loads = map(config, "loadReport");
    double[] ladder = numbers(domain, "ladderKb");
    double[] rateFactors = numbers(domain, "rateFactor");
    double[] lowestRungs = numbers(domain, "floorByClass");
    double[] highestRungs = numbers(domain, "highestRung");
    double[] seatLimits = numbers(domain, "licenceCap");
    List<PackageSettings> packages = new ArrayList<>();
    if (!(config.get("requestClasses") instanceof List<?> classes)) {
      throw new InvalidSettingsException("conf: 'requestClasses' should be a list");
    }
    for (Object one : classes) {
      if (!(one instanceof Map<?, ?> requestClass)) {
        throw new InvalidSettingsException("conf: a request class should be an object");
      }
      int i = packages.size();
      packages.add(
          new PackageSettings(
              number(requestClass, "worth", 1),
              span(requestClass, "aimUs"),
              at(rateFactors, i, 1),
              (int) at(lowestRungs, i, 0),
              (int) Math.min(at(highestRungs, i, ladder.length - 1), ladder.length - 1),
              (int) at(seatLimits, i, 0),
              !"safe".equals(requestClass.get("idempotency"))));
    }
    boolean listsSizes = !"silent".equals(config.get("weights"));
    var fleet =
        new Deployment.Fleet(
            (int) number(domain, "places", 1),
            (int) Math.max(1, number(domain, "shelves", 1)),
            toInts(numbers(domain, "placesByKind")),
            number(domain, "linksKb", 0),
            listsSizes ? number(domain, "weightKb", 0) : 0,
            number(domain, "uplinkKb", 0),
            span(domain, "seeUs"));
    var ruleFigures =
        new Deployment.Rules(
            span(rules, "coldUs"),
            number(rules, "startCapacity", 1),
            number(rules, "fallMultiple", 1),
            span(rules, "tipAfterUs"),
            number(rules, "freeResends", 0),
            number(rules, "furtherRatio", 0),
            span(rules, "ratioSpanUs"));
    boolean reportsUplink = loads.get("fields") instanceof List<?> fields && fields.contains("x1");
    boolean givesRetryAdvice = !Boolean.FALSE.equals(limits.get("retryAfter"));
    var permits =
        new Deployment.Permissions(
            (int) number(limits, "maxAttempts", 1),
            Boolean.TRUE.equals(limits.get("peers")),
            Boolean.TRUE.equals(limits.get("probing")),
            reportsUplink,
            number(charges, "probe", 0),
            number(charges, "crossZone", 0),
            number(charges, "handshake", 0),
            givesRetryAdvice ? span(limits, "maxRetryAfterUs") : Span.NONE);
    return new Deployment(
        (int) Math.max(1, number(config, "balancers", 1)),
        (int) number(config, "me", 0),
        (int) number(config, "zone", 0),
        List.copyOf(packages),
        ladder,
        numbers(domain, "worthByRung"),
        fleet,
        ruleFigures,
        permits);
  }

  private static Map<?, ?> map(Map<?, ?> from, String key) {
    return from.get(key) instanceof Map<?, ?> nested ? nested : Map.of();
  }

  private static double number(Map<?, ?> from, String key, double defaultValue)
      throws InvalidSettingsException {
    Object value = from.get(key);
    if (value == null) {
      return defaultValue;
    }
    if (value instanceof Double decimal) {
      return decimal;
    }
    throw new InvalidSettingsException("conf: '" + key + "' should be a number");
  }

  private static Span span(Map<?, ?> from, String key) throws InvalidSettingsException {
    return new Span(Math.round(number(from, key, 0)));
  }

  private static double at(double[] values, int i, double defaultValue) {
    return i < values.length ? values[i] : defaultValue;
  }

  private static double[] numbers(Map<?, ?> from, String key) throws InvalidSettingsException {
    if (!(from.get(key) instanceof List<?> list)) {
      return new double[0];
    }
    double[] values = new double[list.size()];
    for (int i = 0; i < values.length; i++) {
      if (!(list.get(i) instanceof Double decimal)) {
        throw new InvalidSettingsException("conf: '" + key + "' should hold numbers");
      }
      values[i] = decimal;
    }
    return values;
  }

  private static int[] toInts(double[] values) {
    int[] integers = new int[values.length];
    for (int i = 0; i < integers.length; i++) {
      integers[i] = (int) values[i];
    }
    return integers;
  }
}
